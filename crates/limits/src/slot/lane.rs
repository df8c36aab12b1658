//! What a holder keeps for one backend server.

use super::{Grant, Outcome, Refusal, Request, Settings};
use contract::Revision;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Requests to a home that may still be answered.
const MAX_UNANSWERED: usize = 64;
/// Refused sends that one request asks slots for.
const MAX_REFUSED: u32 = 4;
/// Weight of the newest first-byte time in its moving average is one in this many.
const FIRST_BYTE_WEIGHT: u32 = 8;
/// Slow first bytes in a row that are a sign of a cold start.
const SLOW_IN_A_ROW: u32 = 2;

/// Grant, use and health of one backend server as this node sees them.
#[derive(Debug)]
pub(super) struct Lane {
    slots: u32,
    expires: Option<Instant>,
    fence: Revision,
    grant_sequence: u64,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
    due: Option<Instant>,
    in_flight: u32,
    peak: u32,
    refused: u32,
    used: Option<Instant>,
    completed: u64,
    cold_signals: u64,
    chilled: Option<Instant>,
    first_byte: Option<Duration>,
    slow: u32,
    /// Requests from this one on count as reports that a home must hear.
    unheard: Option<u64>,
}

impl Lane {
    pub(super) fn new() -> Self {
        Self {
            slots: 0,
            expires: None,
            fence: 0,
            grant_sequence: 0,
            sequence: 0,
            sent: VecDeque::new(),
            due: None,
            in_flight: 0,
            peak: 0,
            refused: 0,
            used: None,
            completed: 0,
            cold_signals: 0,
            chilled: None,
            first_byte: None,
            slow: 0,
            unheard: None,
        }
    }

    /// Free slots now.
    pub(super) fn free(&self, now: Instant) -> u32 {
        match self.expires {
            Some(expires) if now < expires => self.slots.saturating_sub(self.in_flight),
            _ => 0,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Occupies a slot; gives the end and the fencing number of its grant.
    pub(super) fn acquire(
        &mut self,
        now: Instant,
        backend: &str,
        settings: &Settings,
    ) -> Result<(Instant, Revision), Refusal> {
        self.used = Some(now);
        let refusal = match self.expires {
            Some(expires) if now < expires && self.in_flight < self.slots => {
                self.in_flight += 1;
                self.peak = self.peak.max(self.in_flight);
                self.hasten(now + settings.renew_interval);
                return Ok((expires, self.fence));
            }
            Some(expires) if now < expires => Refusal::Full(backend.to_owned()),
            _ => Refusal::Expired(backend.to_owned()),
        };
        self.refused = (self.refused + 1).min(MAX_REFUSED);
        let last = self
            .sent
            .back()
            .map(|(_, sent)| *sent + settings.retry_interval);
        self.hasten(last.unwrap_or(now));
        Err(refusal)
    }

    /// Frees a slot; true when the outcome is a sign of a cold start.
    pub(super) fn release(&mut self, now: Instant, outcome: &Outcome, settings: &Settings) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let cold = match outcome {
            Outcome::Completed { first_byte } => {
                self.completed += 1;
                self.slow_down(*first_byte, settings)
            }
            Outcome::Refused | Outcome::Disconnected => true,
            Outcome::Stalled | Outcome::Cancelled | Outcome::Failed => false,
        };
        if cold {
            self.cold_signals += 1;
            self.chilled = Some(now);
            self.slots = 0;
            self.hasten(now);
        }
        cold
    }

    /// Takes a grant; answers that cross are told apart by their sequence.
    pub(super) fn grant(&mut self, grant: &Grant, settings: &Settings) {
        if grant.sequence == self.grant_sequence {
            self.slots = self.slots.min(grant.slots);
            return;
        }
        let found = self
            .sent
            .iter()
            .find(|(number, _)| *number == grant.sequence);
        let Some((_, sent)) = found.copied() else {
            return;
        };
        if grant.fence > 0 && self.unheard.is_some_and(|first| grant.sequence >= first) {
            self.unheard = None;
            // One more request confirms the grant.
            self.hasten(sent + settings.retry_interval);
        }
        let reduced = grant.slots < self.slots;
        self.grant_sequence = grant.sequence;
        self.slots = grant.slots;
        self.fence = grant.fence;
        self.expires = Some(sent + grant.ttl);
        self.sent.retain(|(number, _)| *number >= grant.sequence);
        if reduced || self.refused > 0 {
            self.hasten(sent + settings.retry_interval);
        }
    }

    /// A new home must hear of this lane, also when nothing is wanted. Reports are repeated until
    /// the home has answered as one.
    pub(super) fn report(&mut self, now: Instant) {
        self.unheard = Some(self.sequence + 1);
        self.due = Some(now);
    }

    /// Stops asking, as when the node leaves.
    pub(super) fn close(&mut self, now: Instant) {
        self.used = None;
        self.slots = 0;
        self.due = Some(now);
    }

    /// The request to send now, if one is due.
    pub(super) fn request_due(&mut self, now: Instant, settings: &Settings) -> Option<Request> {
        if self.due.is_none_or(|due| now < due) {
            return None;
        }
        self.calm(now, settings);
        let wanted = self.wanted(now, settings);
        self.sequence += 1;
        let request = Request {
            sequence: self.sequence,
            grant_sequence: self.grant_sequence,
            in_flight: self.in_flight,
            wanted,
            completed: self.completed,
            cold_signals: self.cold_signals,
        };
        let unmet = self.refused > 0 || self.free(now) + self.in_flight < wanted;
        let unmet = unmet || self.unheard.is_some();
        self.due = match (wanted, unmet) {
            (_, true) => Some(now + settings.retry_interval),
            (0, false) => None,
            (_, false) => Some(now + settings.renew_interval),
        };
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_UNANSWERED {
            self.sent.pop_front();
        }
        self.peak = self.in_flight;
        self.refused = 0;
        Some(request)
    }

    fn wanted(&self, now: Instant, settings: &Settings) -> u32 {
        let idle = self
            .used
            .is_none_or(|used| now >= used + settings.idle_timeout);
        if idle {
            return self.in_flight;
        }
        let peak = self.peak.max(self.in_flight);
        peak + peak / 2 + self.refused.max(1)
    }

    /// Forgets signs of a cold start after a time without any.
    fn calm(&mut self, now: Instant, settings: &Settings) {
        if self
            .chilled
            .is_some_and(|at| now >= at + settings.max_run_time)
        {
            self.chilled = None;
            self.cold_signals = 0;
        }
    }

    /// Follows first-byte times; true when they have become many times the usual.
    fn slow_down(&mut self, found: Duration, settings: &Settings) -> bool {
        let Some(usual) = self.first_byte else {
            self.first_byte = Some(found);
            return false;
        };
        if found > settings.slow_min && found > usual * settings.slow_factor {
            self.slow += 1;
            return self.slow >= SLOW_IN_A_ROW;
        }
        self.slow = 0;
        self.first_byte = Some((usual * (FIRST_BYTE_WEIGHT - 1) + found) / FIRST_BYTE_WEIGHT);
        false
    }

    fn hasten(&mut self, due: Instant) {
        self.due = Some(self.due.map_or(due, |set| set.min(due)));
    }
}
