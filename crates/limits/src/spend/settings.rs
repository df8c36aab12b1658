//! Settings of budget shares.

/// How a node takes shares of budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Part of a node's fair share that it takes at a time.
    pub refill_fraction: f64,
    /// Smallest share in requests, so that the end of a budget takes few writes.
    pub min_requests: u64,
    /// Part of the budget below which cheaper plans go first.
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
