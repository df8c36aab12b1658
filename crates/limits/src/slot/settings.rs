//! Settings shared by homes and holders of slots.

use std::time::Duration;

/// Settings of homes and holders. They must be the same on all nodes.
///
/// ```
/// use limits::slot::Settings;
/// use std::time::Duration;
/// let settings = Settings { ttl: Duration::from_secs(1), ..Default::default() };
/// assert!(settings.ttl < settings.max_run_time);
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Lifetime of a grant, counted from when the holder sent its request.
    pub ttl: Duration,
    /// How long a node that missed a change may still act on its old view after the change is
    /// accepted.
    pub horizon: Duration,
    /// Maximum run time of a request. After it, an unreachable holder has nothing left in flight.
    pub max_run_time: Duration,
    /// Interval between requests to a home while grants are in use.
    pub renew_interval: Duration,
    /// Interval between requests to a home while demand is unmet.
    pub retry_interval: Duration,
    /// Time without use after which a holder stops requesting slots.
    pub idle_timeout: Duration,
    /// Time to the first byte, as a multiple of its moving average, above which it indicates a cold
    /// start.
    pub slow_factor: u32,
    /// Time to the first byte up to which it never indicates a cold start.
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
    /// How long a new home waits for grants of earlier homes to expire, counted from when the
    /// change of home was accepted.
    ///
    /// ```
    /// let settings = limits::slot::Settings::default();
    /// assert_eq!(settings.handover_wait(), settings.ttl + settings.horizon);
    /// ```
    pub fn handover_wait(&self) -> Duration {
        self.ttl + self.horizon
    }
}
