//! What a node knows of one backend server.

use super::{Limiter, Load, NameHash, Query, Settings, name_hash};
use crate::server::{Listing, State};
use limits::quarantine::{self, Breaker};
use lru::LruCache;
use rand::Rng;
use rustc_hash::FxBuildHasher;
use std::time::{Duration, Instant};

/// How a send ended, as far as it tells something of the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered as it should.
    Succeeded,
    /// It failed, broke off or kept silent.
    Failed,
    /// It had no room: nothing ran.
    Full,
    /// The caller left, or the answer tells nothing.
    Unknown,
}

/// Failures in a row that put a backend server into quarantine.
const FAILURES: u32 = 3;
/// First pause of a quarantine; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(700);
/// Longest pause of a quarantine: a backend server that is back is found within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a backend server that had no room is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Largest multiple of the usual time that an answer counts as.
const MAX_SLOWNESS: f64 = 10.0;

/// What a node knows of one backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its entry in the platform's list.
    pub listing: Listing,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Requests that this node has sent and that haven't ended.
    pub own_load: Load,
    /// Requests of other nodes.
    pub remote_load: Load,
    /// Share of failures among the last answers.
    pub failure_rate: f64,
    /// How many times the usual time it takes.
    pub slowness: f64,
    /// Parts of prompts that it was sent, by model, with the time of the last use.
    parts: LruCache<(NameHash, NameHash), Instant, FxBuildHasher>,
    /// Hash of its id.
    pub(super) hash: u64,
    /// Requests that this node may send to it in one window while it is cold.
    pub(super) cold_share: usize,
    full_until: Option<Instant>,
    /// When it last gave something to a request of this node.
    pub(super) heard: Option<Instant>,
    /// When it last broke off an answer.
    pub(super) broke: Option<Instant>,
    pub(super) breaker: Breaker,
    pub(super) ramp: Limiter,
}

impl Server {
    /// A backend server just read from the list.
    pub fn new(listing: Listing, now: Instant) -> Self {
        let settings = quarantine::Settings {
            failures: FAILURES,
            pause: PAUSE,
            longest_pause: LONGEST_PAUSE,
            probe: LONGEST_PAUSE,
            ..quarantine::Settings::default()
        };
        Self {
            cold_until: now + listing.cold_remaining,
            own_load: Load::default(),
            remote_load: Load::default(),
            failure_rate: 0.0,
            slowness: 1.0,
            parts: LruCache::unbounded_with_hasher(FxBuildHasher),
            hash: name_hash(&listing.id),
            cold_share: 0,
            full_until: None,
            heard: None,
            broke: None,
            breaker: Breaker::new(settings),
            ramp: Limiter::default(),
            listing,
        }
    }

    /// Takes over a newer entry of the same start.
    pub fn update(&mut self, listing: Listing, now: Instant) {
        self.cold_until = self.cold_until.max(now + listing.cold_remaining);
        self.listing = listing;
    }

    /// Whether it takes new work.
    pub fn accepts_work(&self) -> bool {
        self.listing.state == State::Ready
    }

    /// Requests on it, as far as is known.
    pub fn load(&self) -> Load {
        self.own_load.plus(self.remote_load)
    }

    /// Whether it has just said that it has no room.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Tokens of the prompt that it has yet to read.
    pub fn uncached_tokens(&self, now: Instant, query: &Query, settings: &Settings) -> f64 {
        let model = query.model_hash;
        let mut kept = 0.0;
        for (part, tokens) in &query.work.parts {
            let used = self.parts.peek(&(model, *part));
            let lapsed = |at: Instant| now.saturating_duration_since(at) >= settings.part_ttl;
            if used.is_none_or(|&at| lapsed(at)) {
                break;
            }
            kept += tokens;
        }
        (query.work.prompt_tokens - kept).max(0.0)
    }

    /// Remembers the parts of a prompt that it is sent.
    pub fn record_parts(&mut self, now: Instant, query: &Query, settings: &Settings) {
        let model = query.model_hash;
        for (part, _) in &query.work.parts {
            self.parts.put((model, *part), now);
        }
        while self.parts.len() > settings.max_parts {
            self.parts.pop_lru();
        }
    }

    /// Takes in how many times the usual time an answer took.
    pub fn record_latency(&mut self, ratio: f64, settings: &Settings) {
        let ratio = ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += settings.slowness_weight * (ratio - self.slowness);
    }

    /// Takes in how a send ended.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        outcome: Outcome,
        settings: &Settings,
        rng: &mut impl Rng,
    ) {
        match outcome {
            Outcome::Succeeded => self.breaker.succeed(),
            Outcome::Failed => self.breaker.fail(now, rng),
            Outcome::Full => self.full_until = Some(now + FULL_PAUSE),
            Outcome::Unknown => return,
        }
        let failed = f64::from(u8::from(outcome == Outcome::Failed));
        self.failure_rate += settings.failure_weight * (failed - self.failure_rate);
    }
}
