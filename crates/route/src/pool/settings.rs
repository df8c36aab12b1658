//! Settings of placement.

use std::time::Duration;

/// What is assumed of backend servers where nothing is known of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time of one decoding step of an engine with a single request, before any answer.
    pub step: Duration,
    /// What a request to a model of middle size adds to a step, before any answer; others add in
    /// proportion to their pace.
    pub step_per_weight: Duration,
    /// Weight of the requests on an engine for which these two are meant.
    pub typical_weight: f64,
    /// Prompt tokens that an engine reads in a millisecond, before any answer.
    pub prefill_rate: f64,
    /// Time to a first event without a prompt, before any answer.
    pub first_event: Duration,
    /// Prompt tokens read before a first event for which these two are meant.
    pub typical_prefill: f64,
    /// Time for which a part of a prompt is taken to stay in an engine's memory after its last use.
    pub part_ttl: Duration,
    /// Parts remembered for one engine; the oldest go first.
    pub max_parts: usize,
    /// Weight of a new observation in the share of failures.
    pub failure_weight: f64,
    /// Weight of a new observation in the slowness of a backend server.
    pub slowness_weight: f64,
    /// What a certain failure counts as, in time.
    pub failure_cost: Duration,
    /// What a kilobyte to or from another availability zone counts as, in time.
    pub zone_cost: Duration,
    /// Weight of the requests beside one, on an engine: how much of what it adds to them counts.
    pub contention_weight: f64,
    /// What the time to read a prompt counts as, in times of itself: work that is done again for
    /// nothing, and that delays the first event.
    pub prefill_weight: f64,
    /// The same for each request beside one: its events wait while an engine reads.
    pub prefill_contention_weight: f64,
    /// What the time to read the prompts that are ahead counts as, in times of itself: it delays the
    /// first event.
    pub queued_prefill_weight: f64,
    /// Part of an engine's memory up to which it isn't short of it.
    pub memory_threshold: f64,
    /// What being short of all of an engine's memory counts as, in time.
    pub memory_cost: Duration,
    /// What a request that is ahead on a plain backend server counts as, in time.
    pub queue_cost: Duration,
    /// What a cold backend server counts as, in time.
    pub cold_cost: Duration,
    /// Backend servers of a service that all nodes together look at for one request each: the more
    /// nodes, the more of them choose by the same old word of loads.
    pub fleet_sample: f64,
    /// Least number that one node looks at, on average: the better of a few is nearly as good as the
    /// best, and seldom the one that all others choose.
    pub min_sample: f64,
    /// Requests beyond its slots that a backend server is given: with the usual six slots, one more
    /// round of work, which ends within the target.
    pub max_queued: u32,
    /// Time after something came from a backend server in which it isn't silent: some steps of a
    /// crowded engine with a long prompt between them.
    pub active_time: Duration,
    /// Time in which answers that a backend server breaks off are taken for one crash: those on it
    /// learn of it within the resends of a packet.
    pub crash_window: Duration,
    /// Length of the window in which requests to a cold backend server are counted.
    pub cold_window: Duration,
    /// Part of what a cold backend server bears that nodes share out: the rest is for nodes that
    /// others don't know of yet.
    pub cold_fraction: f64,
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
        }
    }
}
