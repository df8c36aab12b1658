//! Settings of budget shares.

/// How a node takes shares of budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Part of a node's fair share that it takes at a time.
    pub part: f64,
    /// Smallest share in requests, so that the end of a budget takes few writes.
    pub smallest: u64,
    /// Part of the budget below which cheaper plans go first.
    pub low: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            part: 0.5,
            smallest: 8,
            low: 0.1,
        }
    }
}
