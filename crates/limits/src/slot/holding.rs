//! What a home knows of one holder of one backend server's slots.

use super::{Grant, Request};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Unconfirmed grants remembered for each holder; older ones are folded together.
const MAX_GRANTS: usize = 8;

/// One holder's grants and last report.
#[derive(Debug)]
pub(super) struct Holding {
    /// Granted slots by sequence, from the newest confirmed one on.
    grants: VecDeque<(u64, u32)>,
    report: Request,
    /// Sequence of the first request that this home heard.
    first: u64,
    /// When the newest request arrived. Its grant can't last longer than the TTL from here.
    heard: Instant,
    /// Since when demand isn't met.
    pub(super) waiting: Option<Instant>,
    /// Completed requests already counted, once the holder has a grant newer than `base_from`.
    base: Option<u64>,
    base_from: u64,
}

impl Holding {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            grants: VecDeque::new(),
            report: Request::default(),
            first: u64::MAX,
            heard: now,
            waiting: None,
            base: None,
            base_from: 0,
        }
    }

    /// A holder as an earlier home has left it.
    pub(super) fn handed(now: Instant, sequence: u64, slots: u32) -> Self {
        Self {
            grants: VecDeque::from([(sequence, slots)]),
            ..Self::new(now)
        }
    }

    /// Adds what an earlier home granted, unless the holder has confirmed something newer.
    pub(super) fn precede(&mut self, sequence: u64, slots: u32) {
        if sequence >= self.report.grant_sequence {
            self.grants.push_front((sequence, slots));
        }
    }

    /// Newest request that was answered.
    pub(super) fn answered(&self) -> u64 {
        self.grants
            .back()
            .map_or(self.report.sequence, |(sequence, _)| *sequence)
    }

    /// Slots that the holder may occupy at the backend server now: what it reported in flight,
    /// or what any grant that it may still be using allows.
    pub(super) fn charge(&self, now: Instant, ttl: Duration, max_run_time: Duration) -> u32 {
        if now >= self.heard + ttl + max_run_time {
            return 0;
        }
        let granted = self.grants.iter().map(|(_, slots)| *slots).max();
        self.report.in_flight.max(granted.unwrap_or(0))
    }

    /// Whether the holder has asked within the lifetime of a grant.
    pub(super) fn recent(&self, now: Instant, ttl: Duration) -> bool {
        now < self.heard + ttl
    }

    pub(super) fn report(&self) -> &Request {
        &self.report
    }

    /// Takes a newer report; forgets grants that the holder has replaced.
    pub(super) fn hear(&mut self, now: Instant, request: &Request) {
        self.heard = now;
        self.report = request.clone();
        self.first = self.first.min(request.sequence);
        while self
            .grants
            .front()
            .is_some_and(|(sequence, _)| *sequence < request.grant_sequence)
        {
            self.grants.pop_front();
        }
    }

    /// Whether the holder uses a grant of this home, so that none of an earlier home stands and
    /// its report names all that it has in flight.
    pub(super) fn confirmed(&self) -> bool {
        self.report.grant_sequence >= self.first
    }

    /// Remembers a grant until the holder confirms a newer one.
    pub(super) fn grant(&mut self, grant: &Grant) {
        self.grants.push_back((grant.sequence, grant.slots));
        if self.grants.len() > MAX_GRANTS {
            let oldest = self.grants.pop_front().map_or(0, |(_, slots)| slots);
            if let Some((_, slots)) = self.grants.front_mut() {
                *slots = (*slots).max(oldest);
            }
        }
    }

    /// Completed requests that are news and certainly ended after the last chill.
    pub(super) fn completions(&mut self) -> u64 {
        if self.report.grant_sequence < self.base_from {
            return 0;
        }
        let total = self.report.completed;
        let news = self.base.map_or(0, |base| total.saturating_sub(base));
        self.base = Some(total);
        news
    }

    /// Counts no completion before the holder has a grant made after now.
    pub(super) fn rebase(&mut self) {
        self.base = None;
        self.base_from = self.report.sequence + 1;
    }
}
