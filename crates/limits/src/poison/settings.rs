//! Settings of the detection of poison parts.

use std::time::Duration;

/// Settings of the detection of poison parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How long a crash counts against a part.
    pub retention: Duration,
    /// Distinct backend servers that must crash on a part, with no answer in between, before it is
    /// blocked.
    pub crash_threshold: usize,
    /// Distinct requests that must be among them: the parts of one request crash together.
    pub min_requests: usize,
    /// Shortest time from the first of these crashes to the last one. Backend servers that end
    /// together, as in a loss of power, say nothing about what they were running.
    pub min_span: Duration,
    /// Number of crashes by which a part must explain more than another one, so that it is blocked and the
    /// other one isn't. A single crash may have another cause.
    pub min_lead: usize,
    /// Time for which a part is first blocked; it doubles with each crash of a probe up to
    /// `max_block`.
    pub min_block: Duration,
    /// Longest time for which a part is blocked.
    pub max_block: Duration,
    /// Time after which a probe without an outcome no longer holds back the next one.
    pub probe_timeout: Duration,
    /// Time after which a trial without an outcome no longer holds back the next one. It is shorter than
    /// that of a probe, since sound requests are refused in the meantime.
    pub trial_timeout: Duration,
    /// Time after an answer during which notices of a block are ignored: they may be older.
    pub settle_time: Duration,
    /// Maximum number of suspected parts kept; the one with the oldest last crash is evicted first.
    pub capacity: usize,
    /// Number of answered parts remembered; the one answered longest ago is forgotten first.
    pub max_answered: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(60),
            crash_threshold: 3,
            min_requests: 2,
            min_span: Duration::from_millis(400),
            min_lead: 2,
            min_block: Duration::from_secs(20),
            max_block: Duration::from_secs(3600),
            probe_timeout: Duration::from_secs(10),
            trial_timeout: Duration::from_secs(2),
            settle_time: Duration::from_secs(1),
            capacity: 1024,
            max_answered: 4096,
        }
    }
}
