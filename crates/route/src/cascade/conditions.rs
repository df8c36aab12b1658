//! What limits the use of larger models at present.

/// What limits the use of larger models for a request at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Mean contention of the engines: the duration of a step in relation to that of an idle engine.
    pub contention: f64,
    /// Relative time of the slowest model that can still begin its answer within the target latency.
    pub max_time: f64,
}

impl Default for Conditions {
    /// Idle engines and unlimited time.
    fn default() -> Self {
        Self {
            contention: 1.0,
            max_time: f64::INFINITY,
        }
    }
}
