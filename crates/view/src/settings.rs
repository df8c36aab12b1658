//! Settings of the view.

use std::time::Duration;

/// Limits of the view.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How old the newest proof may be for new work to start.
    pub horizon: Duration,
    /// Interval of heartbeats on each link.
    pub heartbeat: Duration,
    /// Silence after which a connection is replaced.
    pub silence_timeout: Duration,
    /// Links that a node keeps once there are more members than this.
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
