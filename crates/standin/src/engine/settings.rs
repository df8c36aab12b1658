//! Settings of an engine.

use crate::serve::loopback;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address reported with each run, if it isn't the bound one.
    pub reported: Option<String>,
    /// Model that is served.
    pub model: String,
    /// Version that is served.
    pub version: String,
    /// Share of good answers.
    pub quality: f64,
    /// Time to first token without a cached prefix.
    pub first_token: Duration,
    /// Time between tokens.
    pub inter_token: Duration,
    /// Words of an answer unless the request asks for fewer.
    pub words: usize,
    /// Requests that run at once when warm.
    pub slots: usize,
    /// Requests that run at once when cold.
    pub cold_slots: usize,
    /// Completed requests after which the engine is warm.
    pub warm_after: usize,
    /// Whether the engine starts cold.
    pub cold: bool,
    /// Time after turning cold without a restart in which excess is only refused.
    pub cold_notice: Duration,
    /// How many times longer the first token takes when cold.
    pub cold_factor: f64,
    /// Requests that wait for a slot before more are refused.
    pub queue: usize,
    /// Time for which the engine is gone after it fell over.
    pub recovery: Duration,
    /// Age of what `/metrics` reports.
    pub metrics_lag: Duration,
    /// Whether an old fencing number is refused.
    pub fenced: bool,
    /// Prompt text that crashes the engine.
    pub poison: Option<String>,
    /// Prompt prefixes that are kept.
    pub prefixes: usize,
    /// Puts a fault-injecting proxy before the engine, without which it can't fall over.
    pub fallible: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            reported: None,
            model: "small".to_owned(),
            version: "1".to_owned(),
            quality: 0.9,
            first_token: Duration::from_millis(20),
            inter_token: Duration::from_millis(2),
            words: 16,
            slots: 16,
            cold_slots: 1,
            warm_after: 4,
            cold: false,
            cold_notice: Duration::from_secs(1),
            cold_factor: 3.0,
            queue: 64,
            recovery: Duration::from_millis(500),
            metrics_lag: Duration::from_millis(500),
            fenced: false,
            poison: None,
            prefixes: 64,
            fallible: true,
        }
    }
}
