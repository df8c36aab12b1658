//! Settings of the admission queue.

/// Limits of the admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum fraction of the time until the deadline that a request's expected wait and run time
    /// may take.
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
