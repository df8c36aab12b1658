//! A moving average.

/// Smoothing factor: the weight of a new value never falls below it.
const SMOOTHING: f64 = 0.03;

/// Arithmetic mean of the first values, then an exponential moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    value: f64,
    count: u64,
}

impl Mean {
    /// Creates an average from an initial value, which counts as one observation.
    ///
    /// ```
    /// let mut mean = policy::answer::Mean::new(10.0);
    /// mean.observe(20.0);
    /// assert_eq!(mean.value(), 15.0);
    /// ```
    pub fn new(initial: f64) -> Self {
        Self {
            value: initial,
            count: 1,
        }
    }

    /// Returns the average.
    ///
    /// ```
    /// assert_eq!(policy::answer::Mean::default().value(), 0.0);
    /// ```
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adds an observation.
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
