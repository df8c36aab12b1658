//! Settings of a circuit breaker.

use std::time::Duration;

/// When a circuit breaker opens, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures after which the breaker opens.
    pub failure_threshold: u32,
    /// Time until the first probe; doubles with each failed probe.
    pub base_delay: Duration,
    /// Upper bound of the time between probes, before jitter.
    pub max_delay: Duration,
    /// Time after which a probe that has not ended no longer blocks the next one.
    pub probe_timeout: Duration,
    /// Maximum random addition to the delay, as a fraction of it, which keeps nodes from probing at
    /// the same time.
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
