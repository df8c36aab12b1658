//! State of one backend server as a node sees it.

use super::{Limit, Limiter, Load, NameHash, Query, Settings, name_hash};
use crate::server::{Listing, State};
use limits::quarantine::{self, Breaker};
use lru::LruCache;
use rand::Rng;
use rustc_hash::FxBuildHasher;
use std::time::{Duration, Instant};

/// Outcome of a send, as far as it says something about the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered as expected.
    Succeeded,
    /// It failed, broke off its answer or timed out.
    Failed,
    /// It had no capacity; the request did not run.
    Full,
    /// The caller disconnected, or the answer says nothing about the server.
    Unknown,
}

/// Consecutive failures after which a backend server is quarantined.
const FAILURES: u32 = 3;
/// First pause of a quarantine; it doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// Maximum pause of a quarantine; a backend server that has recovered is detected within it.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a backend server is skipped after it had no capacity.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Time after a pause for which a backend server gets few requests at a time.
const RESUME_TIME: Duration = Duration::from_secs(2);
/// Time after which it gets one more request at a time.
const RESUME_STEP: Duration = Duration::from_millis(100);

/// Factor on the baseline latency at which answers are capped.
const MAX_SLOWNESS: f64 = 10.0;

/// State of one backend server as a node sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Entry in the platform's list.
    pub listing: Listing,
    /// End of its cold start.
    pub cold_until: Instant,
    /// Load of this node's open requests.
    pub own_load: Load,
    /// Load of the other nodes' requests.
    pub remote_load: Load,
    /// Moving average of the share of failures.
    pub failure_rate: f64,
    /// Moving average of its latency in relation to the baseline.
    pub slowness: f64,
    /// Parts of prompts sent to it, by model, with the time of their last use.
    cached_parts: LruCache<(NameHash, NameHash), Instant, FxBuildHasher>,
    /// Hash of its id.
    pub(super) hash: u64,
    /// Requests that this node may send to it per window while it is cold.
    pub(super) cold_quota: usize,
    full_until: Option<Instant>,
    /// Whether it has said that it is leaving, whatever its entry says.
    pub(super) is_leaving: bool,
    /// End of the last pause that it asked this node for.
    paused_until: Option<Instant>,
    /// Limit on the requests of all nodes that it names.
    pub(super) limit: Option<Limit>,
    /// When it last sent something in response to a request of this node.
    pub(super) last_activity: Option<Instant>,
    /// When it last broke off an answer.
    pub(super) last_break: Option<Instant>,
    /// When a request on it last failed.
    last_failure: Option<Instant>,
    pub(super) breaker: Breaker,
    pub(super) cold_limiter: Limiter,
}

impl Server {
    /// Creates the state of a newly listed backend server.
    pub fn new(listing: Listing, now: Instant) -> Self {
        let settings = quarantine::Settings {
            failure_threshold: FAILURES,
            base_delay: MIN_PAUSE,
            max_delay: MAX_PAUSE,
            probe_timeout: MAX_PAUSE,
            ..quarantine::Settings::default()
        };
        Self {
            cold_until: now + listing.cold_remaining,
            own_load: Load::default(),
            remote_load: Load::default(),
            failure_rate: 0.0,
            slowness: 1.0,
            cached_parts: LruCache::unbounded_with_hasher(FxBuildHasher),
            hash: name_hash(&listing.id),
            cold_quota: 0,
            full_until: None,
            is_leaving: false,
            paused_until: None,
            limit: None,
            last_activity: None,
            last_break: None,
            last_failure: None,
            breaker: Breaker::new(settings),
            cold_limiter: Limiter::default(),
            listing,
        }
    }

    /// Updates the entry of a server that has not restarted.
    pub fn update(&mut self, listing: Listing, now: Instant) {
        self.cold_until = self.cold_until.max(now + listing.cold_remaining);
        self.listing = listing;
    }

    /// Whether it accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.listing.state == State::Ready && !self.is_leaving
    }

    /// Whether it has said in an answer that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Stops sending to it for a time, as it has asked for.
    pub fn pause(&mut self, now: Instant, pause: Duration) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }

    /// Time left of its pause, if it has asked for one.
    pub fn pause_left(&self, now: Instant) -> Option<Duration> {
        let left = self.paused_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Limit on the requests of all nodes that it names.
    pub fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// Time until it takes a request of this node, by what it has asked for itself.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let limit = self.limit.as_ref().and_then(|limit| limit.wait(now));
        self.pause_left(now).max(limit)
    }

    /// Whether it accepts one more request of this node after a pause: at first few at a time.
    pub fn has_resumed(&self, now: Instant) -> bool {
        let Some(end) = self.paused_until else {
            return true;
        };
        let Some(since) = now.checked_duration_since(end) else {
            return false;
        };
        since >= RESUME_TIME
            || self.own_load.requests < 1 + (since.as_millis() / RESUME_STEP.as_millis()) as u32
    }

    /// Returns its total load, as far as this node knows.
    pub fn load(&self) -> Load {
        self.own_load.plus(self.remote_load)
    }

    /// Whether it has just reported that it has no capacity.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Returns the number of prompt tokens that it would have to process, because they aren't cached.
    pub fn uncached_tokens(&self, now: Instant, query: &Query, settings: &Settings) -> f64 {
        let model = query.model_hash;
        let mut cached = 0.0;
        for (part, tokens) in &query.work.parts {
            let used = self.cached_parts.peek(&(model, *part));
            let expired = |at: Instant| now.saturating_duration_since(at) >= settings.part_ttl;
            if used.is_none_or(|&at| expired(at)) {
                break;
            }
            cached += tokens;
        }
        (query.work.prompt_tokens - cached).max(0.0)
    }

    /// Records the parts of a prompt sent to it as cached.
    pub fn record_parts(&mut self, now: Instant, query: &Query, settings: &Settings) {
        let model = query.model_hash;
        for (part, _) in &query.work.parts {
            self.cached_parts.put((model, *part), now);
        }
        while self.cached_parts.len() > settings.max_parts {
            self.cached_parts.pop_lru();
        }
    }

    /// Records the latency of an answer in relation to the baseline.
    pub fn record_latency(&mut self, ratio: f64, settings: &Settings) {
        let ratio = ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += settings.slowness_weight * (ratio - self.slowness);
    }

    /// Forgets its failures if the last one was after the given time. Its breaker closes.
    pub(super) fn reset_failures(&mut self, since: Option<Instant>) {
        if self.last_failure.is_some_and(|at| Some(at) >= since) {
            self.breaker.record_success();
            self.failure_rate = 0.0;
            self.last_failure = None;
        }
    }

    /// Records the outcome of a send.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        outcome: Outcome,
        settings: &Settings,
        rng: &mut impl Rng,
    ) {
        match outcome {
            Outcome::Succeeded => self.breaker.record_success(),
            Outcome::Failed => {
                self.last_failure = Some(now);
                self.breaker.record_failure(now, rng);
            }
            Outcome::Full => self.full_until = Some(now + FULL_PAUSE),
            Outcome::Unknown => return,
        }
        let failed = f64::from(u8::from(outcome == Outcome::Failed));
        self.failure_rate += settings.failure_weight * (failed - self.failure_rate);
    }
}
