//! Crashes and block of one part.

use super::{Part, RequestTag, Settings};
use contract::BackendId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Largest number of times that the time of a block is doubled.
const MAX_LEVEL: u32 = 16;

/// Largest number of crashes kept for a part.
const MAX_CRASHES: usize = 64;

/// A crash that counts against a part.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Instant,
    request: RequestTag,
}

/// Crashes on one part, and its block.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    /// Crashes by backend server; none once an answer or another part explains them. The entry
    /// stays, so that a late notice of the same crash counts no more.
    crashes: BTreeMap<BackendId, Option<Crash>>,
    /// End of the block.
    blocked_until: Option<Instant>,
    /// Number of blocks in a row.
    pub(super) level: u32,
    /// Other parts that explain the crashes as well: only requests with all of them are blocked.
    pub(super) tied: Vec<Part>,
    /// When a probe or a trial was last admitted, while its outcome isn't known.
    probed: Option<Instant>,
    /// When an answer last cleared the part.
    cleared: Option<Instant>,
}

impl State {
    /// Adds a crash; returns whether it is new.
    pub fn add_crash(&mut self, at: Instant, request: RequestTag, server: &str) -> bool {
        if self.crashes.contains_key(server) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.retain(|_, crash| crash.is_some());
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        let crash = Some(Crash { at, request });
        self.crashes.insert(server.to_owned(), crash);
        self.probed = None;
        true
    }

    /// Numbers of distinct requests and of backend servers in the crashes that count.
    pub fn evidence(&self, now: Instant, settings: &Settings) -> (usize, usize) {
        let crashes: Vec<_> = self.recent(now, settings).collect();
        let requests: BTreeSet<_> = crashes.iter().map(|crash| crash.request).collect();
        (requests.len(), crashes.len())
    }

    /// Whether the crashes show that the part causes them.
    pub fn is_conclusive(&self, now: Instant, settings: &Settings) -> bool {
        let first = self.recent(now, settings).map(|crash| crash.at).min();
        let last = self.recent(now, settings).map(|crash| crash.at).max();
        let span = last.zip(first).map(|(last, first)| last - first);
        let (requests, crashes) = self.evidence(now, settings);
        requests >= settings.min_requests
            && crashes >= settings.crash_threshold
            && span.is_some_and(|span| span >= settings.min_span)
    }

    fn recent(&self, now: Instant, settings: &Settings) -> impl Iterator<Item = &Crash> {
        let retention = settings.retention;
        let crashes = self.crashes.values().flatten();
        crashes.filter(move |crash| now.saturating_duration_since(crash.at) < retention)
    }

    /// Number of crashes that count and aren't crashes on another part as well.
    pub fn crashes_without(&self, now: Instant, other: &Self, settings: &Settings) -> usize {
        let counts = |crash: &Option<Crash>| {
            let at = crash.map(|crash| crash.at);
            at.is_some_and(|at| now.saturating_duration_since(at) < settings.retention)
        };
        let own = self.crashes.iter().filter(|(_, crash)| counts(crash));
        own.filter(|(server, _)| !other.crashes.get(*server).is_some_and(counts))
            .count()
    }

    /// Backend servers that crashed on the part.
    pub fn servers(&self) -> impl Iterator<Item = &BackendId> {
        self.crashes.keys()
    }

    /// Discounts what another part explains: crashes of these backend servers, and a block that the
    /// remaining crashes don't justify.
    pub fn discount(&mut self, now: Instant, servers: &[BackendId], settings: &Settings) {
        for server in servers {
            if let Some(crash) = self.crashes.get_mut(server) {
                *crash = None;
            }
        }
        if self.level == 1 && !self.is_conclusive(now, settings) {
            self.release();
        }
    }

    /// Ends the block.
    pub fn release(&mut self) {
        self.blocked_until = None;
        self.probed = None;
        self.level = 0;
        self.tied.clear();
    }

    /// Blocks requests with the part and all that it is tied to, for the time that belongs to a level.
    pub fn block(&mut self, now: Instant, level: u32, tied: Vec<Part>, settings: &Settings) {
        self.tied = tied;
        self.level = level.clamp(1, MAX_LEVEL);
        let time = settings.min_block * (1 << (self.level - 1));
        self.blocked_until = Some(now + time.min(settings.max_block));
        self.probed = None;
    }

    /// Clears the part after an answer; returns whether it had crashes that count, or a block.
    pub fn clear(&mut self, now: Instant) -> bool {
        let held = self.blocked_until.is_some() || self.crashes.values().any(Option::is_some);
        self.crashes.values_mut().for_each(|crash| *crash = None);
        self.release();
        self.cleared = Some(now);
        held
    }

    /// Time left of the block; zero when the part may be probed, none when it isn't blocked.
    pub fn block_left(&self, now: Instant) -> Option<Duration> {
        let until = self.blocked_until?;
        Some(until.saturating_duration_since(now))
    }

    /// Time until a further probe may be admitted, if one is running that began within its time-out.
    pub fn probe_left(&self, now: Instant, timeout: Duration) -> Option<Duration> {
        let end = self.probed? + timeout;
        (now < end).then(|| end - now)
    }

    /// Records that a probe is admitted.
    pub fn start_probe(&mut self, now: Instant) {
        self.probed = Some(now);
    }

    /// Whether an answer has cleared the part within the settle time.
    pub fn is_settling(&self, now: Instant, settings: &Settings) -> bool {
        self.cleared
            .is_some_and(|at| now.saturating_duration_since(at) < settings.settle_time)
    }

    /// When the last crash was, for eviction.
    pub fn last_crash(&self) -> Option<Instant> {
        let crashes = self.crashes.values().flatten();
        crashes.map(|crash| crash.at).max()
    }

    /// Whether the part has neither recent crashes nor a block. A block that has ended without a probe is
    /// forgotten: the node that is to probe gets too few requests with the part.
    pub fn is_expired(&self, now: Instant, settings: &Settings) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < settings.retention;
        !self.blocked_until.is_some_and(recent)
            && !self.last_crash().is_some_and(recent)
            && !self.cleared.is_some_and(recent)
    }
}
