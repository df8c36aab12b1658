//! All parts that are suspected.

use super::part::State;
use super::{Admission, Settings};
use contract::{BackendId, Map};
use lru::LruCache;
use rustc_hash::FxBuildHasher;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Hash of a part's id, the same on all nodes.
pub type Part = u64;
/// Hash of a whole request, the same on all nodes.
pub type RequestTag = u64;

/// Crashes by part of a prompt, as observed by any node.
///
/// A part is blocked when several backend servers crashed while they held different requests with it
/// whose answers hadn't begun, at different times, and no answer to any request with it has begun
/// since. Sound parts of the same requests are cleared by the answers to other requests, and by the
/// block of the part that explains the crashes. After a block one request is sent as a probe.
///
/// ```
/// use limits::poison::{Admission, Detector, Settings};
/// use std::time::{Duration, Instant};
/// let mut detector = Detector::new(Settings::default());
/// let start = Instant::now();
/// for (second, server) in ["e1", "e2", "e3"].into_iter().enumerate() {
///     let now = start + Duration::from_secs(second as u64);
///     detector.record_crash(now, 7, second as u64, server);
///     detector.record_crash(now, 8, second as u64, server);
///     detector.record_answer(now, 8);
/// }
/// let now = start + Duration::from_secs(3);
/// assert_eq!(detector.try_block(now, 8), None);
/// assert_eq!(detector.try_block(now, 7), Some(1));
/// assert!(matches!(detector.admit(now, [8, 7], |_| false), Admission::Blocked(_)));
/// assert_eq!(detector.admit(now, [8], |_| false), Admission::Open);
/// ```
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    parts: Map<Part, State>,
    /// When the answer to a request with a part last began on this node.
    answered: LruCache<Part, Instant, FxBuildHasher>,
}

impl Default for Detector {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Detector {
    /// Creates a detector that has seen no crash.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            parts: Map::default(),
            answered: LruCache::unbounded_with_hasher(FxBuildHasher),
        }
    }

    /// Whether no part is suspected: then requests need no check.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Selects the parts of a lost request that may explain a crash, the likeliest first: a blocked
    /// one alone, otherwise those that no recent answer has shown to be sound, otherwise all.
    pub fn candidates(&self, now: Instant, mut parts: Vec<Part>) -> Vec<Part> {
        let is_blocked = |part: &Part| {
            let state = self.parts.get(part);
            state.is_some_and(|state| state.block_left(now).is_some())
        };
        if let Some(blocked) = parts.iter().copied().find(is_blocked) {
            return vec![blocked];
        }
        let is_sound = |part: &Part| {
            let at = self.answered.peek(part);
            at.is_some_and(|at| now.saturating_duration_since(*at) < self.settings.retention)
        };
        if parts.iter().any(|part| !is_sound(part)) {
            parts.retain(|part| !is_sound(part));
        }
        let evidence = |part: &Part| {
            let state = self.parts.get(part);
            state.map(|state| state.evidence(now, &self.settings))
        };
        parts.sort_by_key(|part| Reverse(evidence(part)));
        parts
    }

    /// Records that a backend server crashed before the answer to a request with this part began.
    /// Returns whether the crash is new, so that other nodes have to be notified.
    pub fn record_crash(
        &mut self,
        now: Instant,
        part: Part,
        request: RequestTag,
        server: &str,
    ) -> bool {
        self.make_room(now, part);
        let state = self.parts.entry(part).or_default();
        let is_new = state.add_crash(now, request, server);
        let is_blocked = state.block_left(now).is_some();
        if is_new && is_blocked {
            self.discount_others(now, part, &[server.to_owned()]);
        } else if is_new {
            self.discount(now, part, server);
        }
        is_new
    }

    /// Discounts a crash on a part if a blocked part explains it.
    fn discount(&mut self, now: Instant, part: Part, server: &str) {
        let explains = |state: &State| {
            state.block_left(now).is_some() && state.servers().any(|known| known == server)
        };
        if self.parts.values().any(explains)
            && let Some(state) = self.parts.get_mut(&part)
        {
            state.discount(now, &[server.to_owned()], &self.settings);
        }
    }

    /// Blocks a part if the crashes show that it causes them, or if a probe has crashed a backend
    /// server. Returns the level of a new block, so that other nodes have to be notified.
    pub fn try_block(&mut self, now: Instant, part: Part) -> Option<u32> {
        let state = self.parts.get_mut(&part)?;
        match state.block_left(now) {
            Some(Duration::ZERO) => (),
            None if state.is_conclusive(now, &self.settings) => (),
            Some(_) | None => return None,
        }
        state.block(now, state.level + 1, &self.settings);
        let (level, servers) = (state.level, state.servers().cloned().collect::<Vec<_>>());
        self.discount_others(now, part, &servers);
        Some(level)
    }

    /// Discounts crashes that a blocked part explains on all other parts.
    fn discount_others(&mut self, now: Instant, part: Part, servers: &[BackendId]) {
        let others = self.parts.iter_mut().filter(|(other, _)| **other != part);
        for (_, state) in others {
            state.discount(now, servers, &self.settings);
        }
    }

    /// Applies a block that another node reports. Returns whether it is new.
    pub fn record_block(&mut self, now: Instant, part: Part, level: u32) -> bool {
        self.make_room(now, part);
        let state = self.parts.entry(part).or_default();
        if state.level >= level || state.is_settling(now, &self.settings) {
            return false;
        }
        state.block(now, level, &self.settings);
        let servers: Vec<_> = state.servers().cloned().collect();
        self.discount_others(now, part, &servers);
        true
    }

    /// Records that the answer to a request with this part has begun. Returns whether that clears
    /// the part, so that other nodes have to be notified.
    pub fn record_answer(&mut self, now: Instant, part: Part) -> bool {
        self.answered.put(part, now);
        if self.answered.len() > self.settings.max_answered {
            self.answered.pop_lru();
        }
        let state = self.parts.get_mut(&part);
        state.is_some_and(|state| state.clear(now))
    }

    /// Returns whether a request with these parts may be sent. `may_probe` tells whether this node
    /// is the one that probes a part.
    pub fn admit(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = Part>,
        may_probe: impl Fn(Part) -> bool,
    ) -> Admission {
        let mut admission = Admission::Open;
        for part in parts {
            let Some(state) = self.parts.get_mut(&part) else {
                continue;
            };
            match state.block_left(now) {
                None => (),
                Some(Duration::ZERO) if may_probe(part) => {
                    if !state.start_probe(now, &self.settings) {
                        return Admission::Blocked(self.settings.probe_timeout);
                    }
                    admission = Admission::Probe;
                }
                Some(left) => return Admission::Blocked(left.max(self.settings.settle_time)),
            }
        }
        admission
    }

    /// Iterates over the blocks with their levels, to send them to a new peer.
    pub fn blocks(&self, now: Instant) -> impl Iterator<Item = (Part, u32)> {
        self.parts
            .iter()
            .filter(move |(_, state)| state.block_left(now).is_some())
            .map(|(part, state)| (*part, state.level))
    }

    /// Forgets parts that have neither recent crashes nor a block.
    pub fn sweep(&mut self, now: Instant) {
        let settings = &self.settings;
        self.parts
            .retain(|_, state| !state.is_expired(now, settings));
    }

    /// At capacity, removes the parts with the oldest crashes to make room for a new one, those that
    /// aren't blocked first.
    fn make_room(&mut self, now: Instant, part: Part) {
        if self.parts.contains_key(&part) {
            return;
        }
        while self.parts.len() >= self.settings.capacity {
            let order = |state: &State| (state.block_left(now).is_some(), state.last_crash());
            let oldest = self.parts.iter().min_by_key(|(_, state)| order(state));
            let Some(part) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.parts.remove(&part);
        }
    }
}
