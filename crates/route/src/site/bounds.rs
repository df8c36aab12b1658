//! Bounds that a site sets.

use std::time::Duration;

/// Bounds that a site sets for the whole fleet of nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which nodes stop sending new requests to a leaving backend server.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL of a node.
    pub grace: Duration,
    /// Time within which a new configuration takes effect.
    pub config_apply_time: Duration,
    /// Extra sends allowed per request, counted over `retry_window` for each service.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Extra sends allowed per window beyond the ratio.
    pub retry_extra: f64,
    /// Share of a service's requests that a version on trial may get.
    pub expose_share: f64,
    /// Number of requests that it may get beyond that share.
    pub expose_extra: f64,
    /// Factor on the rate that a cold backend server is configured to take; the product is the
    /// enforced limit.
    pub cold_factor: f64,
    /// Requests per second allowed beyond that limit.
    pub cold_extra: f64,
    /// Maximum time between two requests of one session.
    pub max_session_gap: Duration,
    /// Maximum time for which callers cache a list of addresses.
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
