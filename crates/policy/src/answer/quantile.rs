//! A quantile learned from a stream.

/// Part of the estimate by which a value moves it.
const STEP: f64 = 0.05;

/// A quantile of positive values, moved a little by each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    /// A quantile that starts from an expected value.
    ///
    /// ```
    /// let mut tail = policy::answer::Quantile::new(0.95, 1.0);
    /// for _ in 0..1_000 {
    ///     tail.observe(3.0);
    /// }
    /// assert!((2.5..3.5).contains(&tail.value()));
    /// ```
    pub fn new(share: f64, expected: f64) -> Self {
        Self {
            share,
            value: expected,
        }
    }

    /// The estimate.
    ///
    /// ```
    /// assert_eq!(policy::answer::Quantile::new(0.95, 1.0).value(), 1.0);
    /// ```
    pub fn value(self) -> f64 {
        self.value
    }

    /// Moves the estimate up when the value is above it, else down, in the ratio that balances at
    /// the quantile.
    ///
    /// ```
    /// let mut tail = policy::answer::Quantile::new(0.5, 1.0);
    /// tail.observe(2.0);
    /// assert!(tail.value() > 1.0);
    /// ```
    pub fn observe(&mut self, value: f64) {
        let step = STEP * self.value;
        self.value += if value > self.value {
            step * self.share
        } else {
            -step * (1.0 - self.share)
        };
    }
}
