//! All parts that are suspected.

use super::part::State;
use super::{Admission, Block, Settings};
use contract::{BackendId, Map};
use lru::LruCache;
use rustc_hash::FxBuildHasher;
use std::cmp::Reverse;
use std::time::Instant;

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
/// Several parts may explain the same crashes, since all requests that were lost held all of them. Then
/// only requests with all of them are blocked. One with a part of them is sent as a trial: its answer
/// clears its parts, and crashes on some of the parts alone leave these blocked.
///
/// ```
/// use limits::poison::{Admission, Block, Detector, Settings};
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
/// assert_eq!(detector.try_block(now, 7), Some(Block { parts: vec![7], level: 1 }));
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

    /// Selects the parts of a lost request that may explain a crash, the likeliest first: blocked ones
    /// alone, otherwise those that no recent answer has shown to be sound, otherwise all.
    pub fn candidates(&self, now: Instant, mut parts: Vec<Part>) -> Vec<Part> {
        let mut blocks = parts.iter().filter_map(|part| self.block_of(now, *part));
        let is_whole = |block: &Block| block.parts.iter().all(|part| parts.contains(part));
        if let Some(block) = blocks.find(is_whole) {
            return block.parts;
        }
        self.retain_unsound(now, &mut parts);
        let evidence = |part: &Part| {
            let state = self.parts.get(part);
            state.map(|state| state.evidence(now, &self.settings))
        };
        parts.sort_by_key(|part| Reverse(evidence(part)));
        parts
    }

    /// Removes the parts that a recent answer has shown to be sound, unless that holds for all of them.
    fn retain_unsound(&self, now: Instant, parts: &mut Vec<Part>) {
        let is_sound = |part: &Part| {
            let at = self.answered.peek(part);
            at.is_some_and(|at| now.saturating_duration_since(*at) < self.settings.retention)
        };
        if parts.iter().any(|part| !is_sound(part)) {
            parts.retain(|part| !is_sound(part));
        }
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
        if !is_new {
            return false;
        }
        match self.block_of(now, part) {
            Some(block) => self.discount_others(now, &block.parts, &[server.to_owned()]),
            None => self.discount(now, part, server),
        }
        true
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
    /// server; parts that explain the same crashes are blocked together. All parts of a lost request have
    /// to be recorded before. Returns a block that is new or has become stricter, so that other nodes have
    /// to be notified.
    pub fn try_block(&mut self, now: Instant, part: Part) -> Option<Block> {
        let state = self.parts.get(&part)?;
        let left = state.block_left(now);
        if left.is_none() && !state.is_conclusive(now, &self.settings) {
            return None;
        }
        let is_running = left.is_some_and(|left| !left.is_zero());
        if is_running && state.tied.is_empty() {
            return None;
        }
        let parts = self.explanations(now, part, state)?;
        let mut level = state.level;
        let is_tied = |other: &Part| *other == part || state.tied.contains(other);
        if !is_running {
            level += 1;
        } else if parts.len() > state.tied.len() || !parts.iter().all(is_tied) {
            return None;
        }
        let block = Block { parts, level };
        self.apply(now, &block);
        Some(block)
    }

    /// Returns the part and those that explain its crashes as well; none if another part explains more.
    fn explanations(&self, now: Instant, part: Part, state: &State) -> Option<Vec<Part>> {
        let settings = &self.settings;
        let mut parts = vec![part];
        for (other, rival) in self.parts.iter().filter(|(other, _)| **other != part) {
            let explains_all = rival.is_conclusive(now, settings)
                && state.crashes_without(now, rival, settings) < settings.min_lead;
            if !explains_all {
                continue;
            }
            if rival.crashes_without(now, state, settings) >= settings.min_lead {
                return None;
            }
            parts.push(*other);
        }
        parts.sort_unstable();
        Some(parts)
    }

    /// Starts a block, ends the blocks of more parts that it replaces, and discounts crashes that it
    /// explains.
    fn apply(&mut self, now: Instant, block: &Block) {
        let mut servers = Vec::new();
        let mut replaced = Vec::new();
        for part in &block.parts {
            let tied = block.parts.iter().copied().filter(|other| other != part);
            let state = self.parts.entry(*part).or_default();
            replaced.extend(std::mem::take(&mut state.tied));
            state.block(now, block.level, tied.collect(), &self.settings);
            servers.extend(state.servers().cloned());
        }
        replaced.retain(|part| !block.parts.contains(part));
        for part in replaced {
            if let Some(state) = self.parts.get_mut(&part) {
                state.release();
            }
        }
        self.discount_others(now, &block.parts, &servers);
    }

    /// Discounts crashes that blocked parts explain on all other parts.
    fn discount_others(&mut self, now: Instant, parts: &[Part], servers: &[BackendId]) {
        let others = self
            .parts
            .iter_mut()
            .filter(|(other, _)| !parts.contains(other));
        for (_, state) in others {
            state.discount(now, servers, &self.settings);
        }
    }

    /// Applies a block that another node reports. Parts that this node knows to be sound are left out of
    /// it. Returns the block as it is in force, if it is new.
    pub fn record_block(&mut self, now: Instant, block: &Block) -> Option<Block> {
        let mut parts = block.parts.clone();
        if parts.len() > self.settings.capacity {
            return None;
        }
        if parts.len() > 1 {
            self.retain_unsound(now, &mut parts);
        }
        for part in &parts {
            self.make_room(now, *part);
        }
        let is_settling = |part: &Part| {
            let state = self.parts.get(part);
            state.is_some_and(|state| state.is_settling(now, &self.settings))
        };
        let is_known = |part: &Part| {
            let state = self.parts.get(part).filter(|state| state.level > 0);
            state.is_some_and(|state| {
                let has_fewer = state.tied.len() + 1 < parts.len();
                let is_within = state.tied.iter().all(|tied| parts.contains(tied));
                is_within && (has_fewer || state.level >= block.level)
            })
        };
        if parts.is_empty() || parts.iter().any(is_settling) || parts.iter().any(is_known) {
            return None;
        }
        let level = block.level;
        let block = Block { parts, level };
        self.apply(now, &block);
        Some(block)
    }

    /// The block that a part belongs to.
    fn block_of(&self, now: Instant, part: Part) -> Option<Block> {
        let state = self.parts.get(&part)?;
        state.block_left(now)?;
        let mut parts = state.tied.clone();
        parts.push(part);
        parts.sort_unstable();
        let level = state.level;
        Some(Block { parts, level })
    }

    /// Records that the answer to a request with this part has begun. Returns whether that clears
    /// the part, so that other nodes have to be notified.
    pub fn record_answer(&mut self, now: Instant, part: Part) -> bool {
        self.answered.put(part, now);
        if self.answered.len() > self.settings.max_answered {
            self.answered.pop_lru();
        }
        let state = self.parts.get_mut(&part);
        let is_cleared = state.is_some_and(|state| state.clear(now));
        if is_cleared {
            for state in self.parts.values_mut() {
                state.tied.retain(|tied| *tied != part);
            }
        }
        is_cleared
    }

    /// Returns whether a request with these parts may be sent. `may_probe` tells whether this node is
    /// the one that probes a part after its block; each node sends trials.
    pub fn admit(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = Part>,
        may_probe: impl Fn(Part) -> bool,
    ) -> Admission {
        let parts: Vec<_> = parts.into_iter().collect();
        let mut probed = Vec::new();
        for part in &parts {
            let Some(state) = self.parts.get(part) else {
                continue;
            };
            let Some(left) = state.block_left(now) else {
                continue;
            };
            let is_trial = state.tied.iter().any(|tied| !parts.contains(tied));
            // Parts of one block are probed by one node.
            let first = state
                .tied
                .iter()
                .fold(*part, |first, tied| first.min(*tied));
            let may_send = is_trial || left.is_zero() && may_probe(first);
            if !may_send {
                return Admission::Blocked(left.max(self.settings.settle_time));
            }
            let timeout = match is_trial {
                true => self.settings.trial_timeout,
                false => self.settings.probe_timeout,
            };
            if let Some(left) = state.probe_left(now, timeout) {
                return Admission::Blocked(left.max(self.settings.settle_time));
            }
            probed.push(*part);
        }
        for part in &probed {
            if let Some(state) = self.parts.get_mut(part) {
                state.start_probe(now);
            }
        }
        match probed.is_empty() {
            true => Admission::Open,
            false => Admission::Probe,
        }
    }

    /// Iterates over the blocks, to send them to a new peer.
    pub fn blocks(&self, now: Instant) -> impl Iterator<Item = Block> {
        self.parts.keys().filter_map(move |part| {
            let block = self.block_of(now, *part)?;
            let mut known = block.parts.iter();
            let first = known.find(|part| self.parts.contains_key(part));
            (first == Some(part)).then_some(block)
        })
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
