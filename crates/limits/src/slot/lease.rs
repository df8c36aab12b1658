//! A home's state for one holder of slots of one backend server.

use super::{Grant, Request};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of unconfirmed grants kept per holder; the oldest ones are merged.
const MAX_GRANTS: usize = 8;

/// Grants to one holder and its last report.
#[derive(Debug)]
pub(super) struct Lease {
    /// Granted slots by sequence number, starting with the newest confirmed grant.
    grants: VecDeque<(u64, u32)>,
    report: Request,
    /// Sequence number of the first request received by this home.
    first_sequence: u64,
    /// When the newest request arrived. Its grant expires within the TTL of this time.
    last_heard: Instant,
    /// Since when the holder's demand has been unmet.
    pub(super) waiting_since: Option<Instant>,
    /// Completed requests already counted; set once the holder uses a grant from `count_from` on.
    counted: Option<u64>,
    count_from: u64,
}

impl Lease {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            grants: VecDeque::new(),
            report: Request::default(),
            first_sequence: u64::MAX,
            last_heard: now,
            waiting_since: None,
            counted: None,
            count_from: 0,
        }
    }

    /// Creates the state of a holder from the handover of an earlier home.
    pub(super) fn from_handover(now: Instant, sequence: u64, slots: u32) -> Self {
        Self {
            grants: VecDeque::from([(sequence, slots)]),
            ..Self::new(now)
        }
    }

    /// Adds slots granted by an earlier home, unless the holder has confirmed a newer grant.
    pub(super) fn add_earlier_grant(&mut self, sequence: u64, slots: u32) {
        if sequence >= self.report.grant_sequence {
            self.grants.push_front((sequence, slots));
        }
    }

    /// Sequence number of the newest answered request.
    pub(super) fn last_answered(&self) -> u64 {
        self.grants
            .back()
            .map_or(self.report.sequence, |(sequence, _)| *sequence)
    }

    /// Number of slots that the holder may occupy at the backend server now: the requests that it
    /// reported in flight, or the largest grant that it may still be using.
    pub(super) fn charge(&self, now: Instant, ttl: Duration, max_run_time: Duration) -> u32 {
        if now >= self.last_heard + ttl + max_run_time {
            return 0;
        }
        let granted = self.grants.iter().map(|(_, slots)| *slots).max();
        self.report.in_flight.max(granted.unwrap_or(0))
    }

    /// Whether the last request of the holder is more recent than the lifetime of a grant.
    pub(super) fn is_recent(&self, now: Instant, ttl: Duration) -> bool {
        now < self.last_heard + ttl
    }

    pub(super) fn report(&self) -> &Request {
        &self.report
    }

    /// Records a newer report and drops grants that the holder has replaced.
    pub(super) fn record_report(&mut self, now: Instant, request: &Request) {
        self.last_heard = now;
        self.report = request.clone();
        self.first_sequence = self.first_sequence.min(request.sequence);
        while self
            .grants
            .front()
            .is_some_and(|(sequence, _)| *sequence < request.grant_sequence)
        {
            self.grants.pop_front();
        }
    }

    /// Whether the holder uses a grant of this home. Then no grant of an earlier home is in use any
    /// more, and the report covers all its requests in flight.
    pub(super) fn is_confirmed(&self) -> bool {
        self.report.grant_sequence >= self.first_sequence
    }

    /// Keeps a grant until the holder confirms a newer one.
    pub(super) fn record_grant(&mut self, grant: &Grant) {
        self.grants.push_back((grant.sequence, grant.slots));
        if self.grants.len() > MAX_GRANTS {
            let oldest = self.grants.pop_front().map_or(0, |(_, slots)| slots);
            if let Some((_, slots)) = self.grants.front_mut() {
                *slots = (*slots).max(oldest);
            }
        }
    }

    /// Returns the number of requests completed since the last call, counting only those that
    /// certainly ended after the last reset of the ramp.
    pub(super) fn take_completions(&mut self) -> u64 {
        if self.report.grant_sequence < self.count_from {
            return 0;
        }
        let total = self.report.completed;
        let new = self
            .counted
            .map_or(0, |counted| total.saturating_sub(counted));
        self.counted = Some(total);
        new
    }

    /// Ignores completions until the holder uses a grant made from now on.
    pub(super) fn reset_completions(&mut self) {
        self.counted = None;
        self.count_from = self.report.sequence + 1;
    }
}
