//! One service.

use crate::Model;
use std::time::Duration;

/// A model that an engine offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Price {
    /// Its name.
    pub model: Model,
    /// Price of 1,000 generated tokens; tokens read count as a quarter.
    pub cost: f64,
}

/// What the model engines of a service can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that are decoded together.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Models on offer.
    pub prices: Vec<Price>,
}

/// A service: what all its backend servers have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start.
    pub cold_duration: Duration,
    /// Requests a second that a cold backend server bears; 0 when it is never cold.
    pub cold_rate: f64,
    /// What its model engines can do; none for a plain service.
    pub engine: Option<Engine>,
}
