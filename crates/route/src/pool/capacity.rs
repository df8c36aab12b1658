//! What the backend servers of a service bear.

use std::time::Duration;

/// What each backend server of a service bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests a second of all nodes while it is cold; none when it is never cold.
    pub cold_rate: Option<f64>,
    /// How long it is cold after its start.
    pub cold_duration: Duration,
    /// Tokens that an engine keeps in memory; 0 for a plain service.
    pub memory_tokens: f64,
    /// Tokens in one event of a stream; 0 where nobody says.
    pub event_tokens: f64,
}
