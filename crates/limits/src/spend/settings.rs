//! Settings for the shares of a budget that nodes allocate.

/// How much of a budget a node allocates at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Fraction of its fair share that a node allocates at a time.
    pub refill_fraction: f64,
    /// Minimum size of a share, as a number of requests at the highest cost seen. It limits the
    /// number of writes when the budget is nearly exhausted.
    pub min_requests: u64,
    /// Fraction of the budget below which cheaper plans are preferred.
    pub low_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            refill_fraction: 0.5,
            min_requests: 8,
            low_fraction: 0.1,
        }
    }
}
