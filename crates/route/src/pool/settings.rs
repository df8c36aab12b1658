//! Settings of placement.

use std::time::Duration;

/// What is assumed of backend servers where nothing is known of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time of one decoding step of an engine with a single request.
    pub step: Duration,
    /// What each further request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_rate: f64,
    /// Time for which a part of a prompt is taken to stay in an engine's memory after its last use.
    pub part_age: Duration,
    /// Parts remembered for one engine; the oldest go first.
    pub max_parts: usize,
    /// Weight of a new observation in the share of failures.
    pub failure_weight: f64,
    /// What a certain failure counts as, in time.
    pub failure_cost: Duration,
    /// What a step to another availability zone counts as, in time.
    pub zone_cost: Duration,
    /// Requests beyond its slots that a plain backend server is given.
    pub queue: u32,
    /// Length of the window in which requests to a cold backend server are counted.
    pub cold_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_micros(2900),
            step_per_request: Duration::from_micros(100),
            read_rate: 55.0,
            part_age: Duration::from_secs(30),
            max_parts: 256,
            failure_weight: 0.2,
            failure_cost: Duration::from_secs(4),
            zone_cost: Duration::from_millis(3),
            queue: 2,
            cold_window: Duration::from_millis(1100),
        }
    }
}
