//! Bounds that a site sets.

use std::time::Duration;

/// Bounds that a site sets for the fleet of nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a leaving backend server gets no new requests.
    pub drain: Duration,
    /// Time that a node has between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a configuration is in force.
    pub config_apply_time: Duration,
    /// Extra sends that a service bears for each request of a window.
    pub retry_ratio: f64,
    /// Window of `retry_ratio`.
    pub retry_window: Duration,
    /// Extra sends of a window beyond the ratio.
    pub retry_extra: f64,
    /// Share of a service's requests that a version on trial may get.
    pub expose_share: f64,
    /// Requests beyond that share.
    pub expose_extra: f64,
    /// Factor on the rate that a cold backend server bears, up to which it holds.
    pub cold_factor: f64,
    /// Requests a second beyond that.
    pub cold_extra: f64,
    /// Longest time between two requests of one session.
    pub max_session_gap: Duration,
    /// Longest time for which callers keep a list of addresses.
    pub max_list_age: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            config_apply_time: Duration::from_secs(2),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            expose_share: 0.1,
            expose_extra: 10.0,
            cold_factor: 1.0,
            cold_extra: 0.0,
            max_session_gap: Duration::from_secs(5),
            max_list_age: Duration::from_secs(5),
        }
    }
}
