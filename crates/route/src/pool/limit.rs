//! Rate limit that a backend server names for all nodes together.

use super::share::MAX_RATE;
use super::{Rate, Share};
use std::time::{Duration, Instant};

/// Time without an answer of the server after which a node sends one request to find out whether
/// the limit still holds, even if it has no share.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Additional time for each node ranked before this one: the answer to the first one's request is
/// told to the others meanwhile.
const PROBE_STEP: Duration = Duration::from_secs(1);
/// Shortest time for which a limit holds after the last answer that names it.
const MIN_HOLD: Duration = Duration::from_secs(3);
/// Answers in a row that don't name the limit, after which it has ended. A server may leave it out
/// of some of its answers.
const SILENT_ANSWERS: u32 = 2;
/// Interval at which other nodes are told that a limit is still named.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// A limit that a backend server names, with this node's share of it as a token bucket.
#[derive(Clone, Debug)]
pub struct Limit {
    rate: Rate,
    share: Share,
    tokens: f64,
    refilled: Instant,
    /// When an answer last named it, to this node or another one.
    named: Instant,
    /// When this node learned the limit, last sent a request, or an answer last named the limit,
    /// whichever is the latest.
    quiet_since: Instant,
    /// When the other nodes were last told.
    told: Option<Instant>,
    /// Answers since then that don't name it.
    silent_answers: u32,
}

impl Limit {
    /// Creates a limit that an answer has just named. The bucket is empty: a node that starts doesn't
    /// begin with a burst.
    ///
    /// ```
    /// use route::pool::{Limit, Share};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let limit = Limit::new(now, now, 1.0, Share::of(1.0, 0, 1));
    /// assert!(limit.wait(now).is_some());
    /// assert!(limit.wait(now + Duration::from_secs(2)).is_none());
    /// ```
    pub fn new(now: Instant, named: Instant, rate: Rate, share: Share) -> Self {
        Self {
            rate: rate.min(MAX_RATE),
            share,
            tokens: 0.0,
            refilled: now,
            named,
            quiet_since: now,
            told: None,
            silent_answers: 0,
        }
    }

    /// Requests per second that the server takes from all nodes together.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// When an answer last named it.
    pub fn named(&self) -> Instant {
        self.named
    }

    /// Records that an answer names this rate.
    pub fn record_named(&mut self, at: Instant, rate: Rate) {
        self.named = at;
        self.quiet_since = self.quiet_since.max(at);
        self.silent_answers = 0;
        self.rate = rate.min(MAX_RATE);
    }

    /// Records an answer that doesn't name the limit; returns whether the limit has ended.
    pub fn record_silent_answer(&mut self, now: Instant) -> bool {
        self.silent_answers = self.silent_answers.saturating_add(1);
        self.silent_answers >= SILENT_ANSWERS
            && now.saturating_duration_since(self.named) >= MIN_HOLD
    }

    /// Sets this node's share. Tokens beyond its burst are lost.
    pub fn set_share(&mut self, now: Instant, share: Share) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Time until this node may send a request; none if it may send one now.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return None;
        }
        let probe_at = self.quiet_since + PROBE_INTERVAL + PROBE_STEP * self.share.rank as u32;
        let probe = probe_at.saturating_duration_since(now);
        let refilled = Duration::try_from_secs_f64(missing / self.share.rate);
        let wait = refilled.map_or(probe, |refilled| refilled.min(probe));
        (!wait.is_zero()).then_some(wait)
    }

    /// Counts a request as sent.
    pub fn record_send(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.quiet_since = self.quiet_since.max(now);
    }

    /// Whether the other nodes are to be told that the limit is named, if `changed` or after a while.
    pub fn take_telling(&mut self, now: Instant, changed: bool) -> bool {
        let recent = |told: Instant| now.saturating_duration_since(told) < TELL_INTERVAL;
        let due = changed || !self.told.is_some_and(recent);
        if due {
            self.told = Some(now);
        }
        due
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled = self.refilled.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        (self.tokens + elapsed * self.share.rate).min(self.share.burst)
    }
}
