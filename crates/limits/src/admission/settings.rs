//! Settings of the admission queue.

/// Bounds of the admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// Share of the time left that a request's expected wait and run may fill.
    pub deadline_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_waiting: 512,
            deadline_share: 0.9,
        }
    }
}
