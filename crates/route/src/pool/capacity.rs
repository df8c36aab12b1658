//! Capacity of a service's backend servers.

use std::time::Duration;

/// Capacity of each backend server of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests per second that a cold server can take from all nodes; `None` if it is never cold.
    pub cold_rate: Option<f64>,
    /// Time for which a server is cold after its start.
    pub cold_duration: Duration,
    /// Number of tokens that an engine keeps in memory; 0 for a plain service.
    pub memory_tokens: f64,
    /// Number of tokens in one event of a stream; 0 if unknown.
    pub event_tokens: f64,
}
