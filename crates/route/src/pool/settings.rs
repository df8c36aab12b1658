//! Settings of placement.

use crate::zone;
use std::time::Duration;

/// Assumptions about backend servers before anything is known of them, and weights of the placement
/// cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Assumed time of an engine's decoding step without any request.
    pub step: Duration,
    /// Assumed time that a request to a medium-sized model adds to a step. Requests to other models
    /// add time in proportion to their weight.
    pub step_per_weight: Duration,
    /// Total weight of the requests on an engine for which `step` and `step_per_weight` are meant.
    pub typical_weight: f64,
    /// Assumed number of prompt tokens that an engine processes per millisecond.
    pub prefill_rate: f64,
    /// Assumed time to the first event without a prompt.
    pub first_event: Duration,
    /// Number of prompt tokens before the first event for which `prefill_rate` and `first_event` are
    /// meant.
    pub typical_prefill: f64,
    /// Time for which a part of a prompt is assumed to stay in an engine's cache after its last use.
    pub part_ttl: Duration,
    /// Maximum number of parts remembered per engine; the least recently used are evicted.
    pub max_parts: usize,
    /// Weight of a new observation in the failure rate.
    pub failure_weight: f64,
    /// Weight of a new observation in the slowness of a backend server.
    pub slowness_weight: f64,
    /// Cost of a certain failure, as time.
    pub failure_cost: Duration,
    /// Cost of a kilobyte to or from another availability zone, as time.
    pub zone_cost: Duration,
    /// Weight of the time that a request adds to the concurrent requests on an engine.
    pub contention_weight: f64,
    /// Weight of the time to process a prompt. It is above 1 because processing a prompt that is cached
    /// elsewhere is wasted work, and because it delays the first event.
    pub prefill_weight: f64,
    /// Additional weight of that time per concurrent request, whose events wait meanwhile.
    pub prefill_contention_weight: f64,
    /// Weight of the time to process the prompts queued before, which delays the first event.
    pub queued_prefill_weight: f64,
    /// Cost of a prompt token that an engine would have to store, as time. A further copy of a part
    /// displaces other parts from the engine's cache, however fast the model that reads it.
    pub storage_cost: Duration,
    /// Fraction of an engine's memory above which its use has a cost.
    pub memory_threshold: f64,
    /// Cost of exceeding that threshold by an engine's whole memory, as time.
    pub memory_cost: Duration,
    /// Cost of a request ahead in the queue of a plain backend server, as time.
    pub queue_cost: Duration,
    /// Cost of a cold backend server, as time.
    pub cold_cost: Duration,
    /// Number of a service's backend servers that all nodes together consider when each places one
    /// request. The more nodes there are, the more of them decide on the same outdated loads.
    pub fleet_sample: f64,
    /// Minimum average number that one node considers. The best of a few is nearly as good as the
    /// best of all, and rarely the one that all other nodes choose.
    pub min_sample: f64,
    /// Requests that a backend server gets beyond its slots. With the usual six slots this is one more
    /// round of work, which completes within the target latency.
    pub max_queued: u32,
    /// Time after its last output for which a backend server counts as active: several steps of a
    /// contended engine with a long prompt between them.
    pub active_time: Duration,
    /// Time within which answers that a backend server breaks off count as one crash. The
    /// requests on it notice the crash within the retransmissions of a packet.
    pub crash_window: Duration,
    /// Length of the window in which requests to a cold backend server are counted.
    pub cold_window: Duration,
    /// Fraction of a cold backend server's capacity that is divided among the known nodes. The rest
    /// is left for nodes that the others don't know of yet.
    pub cold_fraction: f64,
    /// When requests leave their availability zone.
    pub zones: zone::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_micros(2900),
            step_per_weight: Duration::from_micros(220),
            typical_weight: 12.0,
            prefill_rate: 55.0,
            first_event: Duration::from_millis(20),
            typical_prefill: 3000.0,
            part_ttl: Duration::from_secs(30),
            max_parts: 256,
            failure_weight: 0.2,
            slowness_weight: 0.2,
            failure_cost: Duration::from_secs(4),
            zone_cost: Duration::from_micros(1300),
            contention_weight: 0.5,
            prefill_weight: 8.0,
            prefill_contention_weight: 0.3,
            queued_prefill_weight: 4.0,
            storage_cost: Duration::from_micros(200),
            memory_threshold: 0.8,
            memory_cost: Duration::from_secs(10),
            queue_cost: Duration::from_millis(10),
            cold_cost: Duration::from_secs(1),
            fleet_sample: 50.0,
            min_sample: 3.0,
            max_queued: 6,
            active_time: Duration::from_millis(600),
            crash_window: Duration::from_secs(1),
            cold_window: Duration::from_millis(1100),
            cold_fraction: 0.6,
            zones: zone::Settings::default(),
        }
    }
}
