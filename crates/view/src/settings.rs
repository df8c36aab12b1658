//! Settings of the view.

use std::time::Duration;

/// Timeouts and limits of the view.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum age of the latest head read or majority contact for new work to start.
    pub horizon: Duration,
    /// Interval between heartbeats on each link.
    pub heartbeat: Duration,
    /// Time without frames after which a connection is replaced.
    pub silence_timeout: Duration,
    /// Target number of links per node. A node links to all other members while there are no more
    /// than this.
    pub fanout: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(5),
            heartbeat: Duration::from_millis(250),
            silence_timeout: Duration::from_millis(1500),
            fanout: 8,
        }
    }
}
