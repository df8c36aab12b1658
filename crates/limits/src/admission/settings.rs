//! Settings of the admission queue.

/// Bounds of the admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that wait at most.
    pub waiting: usize,
    /// Share of the time left that a request's expected wait and run may fill.
    pub margin: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            waiting: 512,
            margin: 0.9,
        }
    }
}
