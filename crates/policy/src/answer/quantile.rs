//! Streaming estimate of a quantile.

/// Step size for each observation, relative to the estimate.
const STEP: f64 = 0.05;

/// Estimates a quantile of a stream of positive values in constant memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    level: f64,
    value: f64,
}

impl Quantile {
    /// Creates an estimate of the quantile at `level`, 0 to 1, from an initial value above zero:
    /// the steps are proportional to the estimate, so a zero would never move.
    ///
    /// ```
    /// let mut tail = policy::answer::Quantile::new(0.95, 1.0);
    /// for _ in 0..1_000 {
    ///     tail.observe(3.0);
    /// }
    /// assert!((2.5..3.5).contains(&tail.value()));
    /// ```
    pub fn new(level: f64, initial: f64) -> Self {
        Self {
            level,
            value: initial,
        }
    }

    /// Returns the estimate.
    ///
    /// ```
    /// assert_eq!(policy::answer::Quantile::new(0.95, 1.0).value(), 1.0);
    /// ```
    pub fn value(self) -> f64 {
        self.value
    }

    /// Moves the estimate up if the value is above it, else down. The ratio of the two steps makes
    /// them balance at the quantile.
    ///
    /// ```
    /// let mut tail = policy::answer::Quantile::new(0.5, 1.0);
    /// tail.observe(2.0);
    /// assert!(tail.value() > 1.0);
    /// ```
    pub fn observe(&mut self, value: f64) {
        let step = STEP * self.value;
        self.value += if value > self.value {
            step * self.level
        } else {
            -step * (1.0 - self.level)
        };
    }
}
