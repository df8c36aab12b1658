//! When the store last didn't answer, and what follows from it.

use std::time::{Duration, Instant};

/// Time after an outage of the store in which entries that lapsed meanwhile come back.
const ENTRY_GRACE: Duration = Duration::from_millis(2000);
/// Time after which a caller may come back that nothing can serve now: a quarantine or a full queue
/// is over then.
const RETRY_AFTER: Duration = Duration::from_millis(750);
/// The same while a node has no configuration and the store doesn't answer, at the least: it is away
/// for seconds.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The last outage of the store, as this node saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// When it first didn't answer, while none of the calls since was answered.
    since: Option<Instant>,
    /// When it last didn't answer.
    last: Option<Instant>,
    /// When it answered again.
    back: Option<Instant>,
}

impl Outage {
    /// Takes in that the store doesn't answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        self.last = Some(now);
        self.back = None;
    }

    /// Takes in that the store has answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.back.get_or_insert(now);
        self.since = None;
    }

    /// Whether a call wasn't answered of late.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|last| now.saturating_duration_since(last) < ENTRY_GRACE)
    }

    /// Until when entries come back that lapsed meanwhile.
    pub fn grace_end(&self) -> Option<Instant> {
        let last = self.last?;
        Some(self.back.unwrap_or(last) + ENTRY_GRACE)
    }

    /// Time after which a caller may come back that nothing can serve now. A node that needs the store
    /// first takes it to be away for as long again as it has been.
    pub fn retry_after(&self, now: Instant, needs_store: bool) -> Duration {
        let lost = self.since.filter(|_| needs_store);
        lost.map_or(RETRY_AFTER, |since| {
            now.saturating_duration_since(since).max(OUTAGE_RETRY_AFTER)
        })
    }
}
