//! Settings of the judgement.

use std::time::Duration;

/// When the direct path counts as lost, and as restored.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Backend servers that must have failed since the last success; all, if fewer are listed.
    pub min_servers: usize,
    /// Shortest time between two probes. Backend servers pay for each connection.
    pub probe_interval: Duration,
    /// Time for which connects must succeed before the path counts as restored: a path that is about
    /// to fail again may let some through at one moment. Shorter than the interval of the probes, so
    /// that two of them suffice.
    pub recovery_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_servers: 4,
            probe_interval: Duration::from_millis(500),
            recovery_time: Duration::from_millis(400),
        }
    }
}
