//! A moving average.

/// Weight of a new value once enough have been seen.
const SMOOTHING: f64 = 0.03;

/// A moving average: the plain mean at first, exponential later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    value: f64,
    count: u64,
}

impl Mean {
    /// An average that starts from an expected value.
    ///
    /// ```
    /// let mut mean = policy::answer::Mean::new(10.0);
    /// mean.observe(20.0);
    /// assert_eq!(mean.value(), 15.0);
    /// ```
    pub fn new(expected: f64) -> Self {
        Self {
            value: expected,
            count: 1,
        }
    }

    /// The average.
    ///
    /// ```
    /// assert_eq!(policy::answer::Mean::default().value(), 0.0);
    /// ```
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adds a value.
    ///
    /// ```
    /// let mut mean = policy::answer::Mean::default();
    /// mean.observe(4.0);
    /// assert_eq!(mean.value(), 4.0);
    /// ```
    pub fn observe(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / self.count as f64).max(SMOOTHING);
        self.value += weight * (value - self.value);
    }
}
