//! Settings of the balance between zones.

use std::time::Duration;

/// Settings of the balance between zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Backend servers that a service needs in each zone for its requests to prefer their own. With few
    /// servers in a zone, a request that may use all zones finds a free one much more often.
    pub min_servers: usize,
    /// Time constant over which the loads of a zone are averaged, about the age of what other nodes
    /// report.
    pub smoothing: Duration,
    /// Interval between two updates of the averages.
    pub interval: Duration,
    /// Time by which loads follow a decision, beside the time of a request: the age of the reports and
    /// the smoothing.
    pub delay: Duration,
    /// Share that an imbalance has to call for before any request leaves. Requests that arrive by chance
    /// cause smaller ones, and without it two zones could exchange requests for good.
    pub dead_band: f64,
    /// Time that a connection to another zone and a request over it take beyond those in the own zone.
    pub round_trip: Duration,
    /// Tokens of shared prompt parts up to which each zone has an engine of its own that caches them.
    /// Reading longer parts once more in each zone costs more than a transfer to another one.
    pub max_local_prefix: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_servers: 24,
            smoothing: Duration::from_millis(500),
            interval: Duration::from_millis(100),
            delay: Duration::from_secs(1),
            dead_band: 0.06,
            round_trip: Duration::from_millis(5),
            max_local_prefix: 1000.0,
        }
    }
}
