//! Settings of quarantine.

use std::time::Duration;

/// When a backend server is left alone, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Failures in a row after which a backend server is left alone.
    pub failure_threshold: u32,
    /// Time until the first probe; it doubles with each probe that fails.
    pub base_delay: Duration,
    /// Longest time between probes.
    pub max_delay: Duration,
    /// Time after which a probe that has not ended counts as failed.
    pub probe_timeout: Duration,
    /// Share of the pause that is random, so that nodes don't probe together.
    pub jitter: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            base_delay: Duration::from_secs(1),
            max_delay: Duration::from_secs(30),
            probe_timeout: Duration::from_secs(30),
            jitter: 0.3,
        }
    }
}
