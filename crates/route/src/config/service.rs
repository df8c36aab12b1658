//! One service.

use crate::Model;
use std::time::Duration;

/// Price of a model that an engine serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Price {
    /// Name of the model.
    pub model: Model,
    /// Price of 1,000 generated tokens; prompt tokens cost a quarter.
    pub cost: f64,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Number of requests that are decoded concurrently.
    pub slots: u32,
    /// Number of tokens that fit into memory.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// Models that the engines serve, with their prices.
    pub prices: Vec<Price>,
}

/// A service: the properties that all its backend servers share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Number of connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start.
    pub cold_duration: Duration,
    /// Requests per second that a cold backend server can take; 0 if servers are never cold.
    pub cold_rate: f64,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}
