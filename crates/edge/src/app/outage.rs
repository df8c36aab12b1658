//! Tracks outages of the store.

use std::time::{Duration, Instant};

/// Time after an outage or a restore of the store during which backend servers whose entries are gone
/// are kept: they list themselves again. Two seconds, less the time until the next sweep.
pub const ENTRY_GRACE: Duration = Duration::from_millis(1940);
/// Time from which an answered call has waited for changes at the store, which was reachable
/// meanwhile. Longer than a connection takes to open.
const MIN_HELD_TIME: Duration = Duration::from_secs(1);
/// Time after which a caller may retry that nothing can serve now: by then a quarantine or a full
/// queue is over.
const RETRY_AFTER: Duration = Duration::from_millis(750);
/// Minimum of that time while a node has no configuration and the store doesn't answer: an outage
/// lasts for seconds.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The last outage of the store, as this node observed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// Time of the first failed call, while no later call has succeeded.
    since: Option<Instant>,
    /// Time of the last failed call.
    last: Option<Instant>,
    /// Time of the first successful call after it.
    back: Option<Instant>,
}

impl Outage {
    /// Records a call that the store didn't answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        self.last = Some(now);
        self.back = None;
    }

    /// Records a call that the store answered. A call that waited for changes shows that the store
    /// was back when it began: what such an answer removes has not expired in the outage.
    pub fn record_answer(&mut self, started: Instant, now: Instant) {
        let held = now.saturating_duration_since(started) >= MIN_HELD_TIME;
        let reachable = if held { started } else { now };
        let last = self.last.unwrap_or(reachable);
        self.back.get_or_insert(reachable.max(last));
        self.since = None;
    }

    /// Whether a call failed recently.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|last| now.saturating_duration_since(last) < ENTRY_GRACE)
    }

    /// End of the time during which backend servers with expired entries are kept.
    pub fn grace_end(&self) -> Option<Instant> {
        let last = self.last?;
        Some(self.back.unwrap_or(last) + ENTRY_GRACE)
    }

    /// Time after which a caller may retry that nothing can serve now. If the node needs the store
    /// first, the outage is expected to last for as long again as it has lasted.
    pub fn retry_after(&self, now: Instant, needs_store: bool) -> Duration {
        let since = self.since.filter(|_| needs_store);
        since.map_or(RETRY_AFTER, |since| {
            now.saturating_duration_since(since).max(OUTAGE_RETRY_AFTER)
        })
    }
}
