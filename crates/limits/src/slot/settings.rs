//! Times that homes and holders of slots agree on.

use std::time::Duration;

/// Times that must be the same on all nodes.
///
/// ```
/// use limits::slot::Settings;
/// use std::time::Duration;
/// let settings = Settings { ttl: Duration::from_secs(1), ..Default::default() };
/// assert!(settings.ttl < settings.max_run_time);
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a grant lasts, counted from when its request was sent.
    pub ttl: Duration,
    /// How long after a change is accepted a node that missed it may still act on its old view.
    pub horizon: Duration,
    /// How long a request may run; bounds what a silent holder still has in flight.
    pub max_run_time: Duration,
    /// Time between requests to a home while grants are in use.
    pub renew_interval: Duration,
    /// Time between requests to a home while demand isn't met.
    pub retry_interval: Duration,
    /// Time without use after which a holder stops asking.
    pub idle_timeout: Duration,
    /// First tokens that take this many times the usual are a sign of a cold start.
    pub slow_factor: u32,
    /// First tokens faster than this are never a sign of a cold start.
    pub slow_min: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(2),
            horizon: Duration::from_secs(3),
            max_run_time: Duration::from_secs(60),
            renew_interval: Duration::from_millis(500),
            retry_interval: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(5),
            slow_factor: 8,
            slow_min: Duration::from_millis(500),
        }
    }
}

impl Settings {
    /// Time that a new home waits before its first grant.
    ///
    /// ```
    /// let settings = limits::slot::Settings::default();
    /// assert_eq!(settings.handover_wait(), settings.ttl + settings.horizon);
    /// ```
    pub fn handover_wait(&self) -> Duration {
        self.ttl + self.horizon
    }
}
