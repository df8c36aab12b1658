//! A holder's state for one backend server.

use super::{Grant, Outcome, Refusal, Request, Settings};
use contract::Revision;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of sent requests that are kept to match grants against.
const MAX_UNANSWERED: usize = 64;
/// Maximum number of refused attempts for which one request asks for slots.
const MAX_REFUSED: u32 = 4;
/// The newest time to the first byte has a weight of 1 in this number in the moving average.
const FIRST_BYTE_WEIGHT: u32 = 8;
/// Number of consecutive slow first bytes that indicate a cold start.
const SLOW_IN_A_ROW: u32 = 2;

/// Grant, use and health of one backend server, as observed by this node.
#[derive(Debug)]
pub(super) struct Backend {
    slots: u32,
    expires: Option<Instant>,
    fence: Revision,
    /// Sequence number of the newest grant received.
    grant_sequence: u64,
    /// Sequence number of the newest request.
    sequence: u64,
    /// Sequence numbers and times of requests that a grant may still answer.
    sent: VecDeque<(u64, Instant)>,
    /// When the next request to the home is due.
    due: Option<Instant>,
    in_flight: u32,
    /// Maximum number of requests in flight since the last request to the home.
    peak: u32,
    /// Attempts refused since the last request to the home.
    refused: u32,
    last_used: Option<Instant>,
    completed: u64,
    cold_signals: u64,
    last_cold_signal: Option<Instant>,
    /// Moving average of the time to the first byte.
    mean_first_byte: Option<Duration>,
    /// Number of consecutive slow first bytes.
    slow_in_a_row: u32,
    /// First request that reports to a new home, until that home has answered one.
    report_from: Option<u64>,
}

impl Backend {
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
            last_used: None,
            completed: 0,
            cold_signals: 0,
            last_cold_signal: None,
            mean_first_byte: None,
            slow_in_a_row: 0,
            report_from: None,
        }
    }

    /// Number of slots that are free now.
    pub(super) fn free(&self, now: Instant) -> u32 {
        match self.expires {
            Some(expires) if now < expires => self.slots.saturating_sub(self.in_flight),
            _ => 0,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Occupies a slot. Returns the expiry and the fencing token of its grant.
    pub(super) fn acquire(
        &mut self,
        now: Instant,
        backend: &str,
        settings: &Settings,
    ) -> Result<(Instant, Revision), Refusal> {
        self.last_used = Some(now);
        let refusal = match self.expires {
            Some(expires) if now < expires && self.in_flight < self.slots => {
                self.in_flight += 1;
                self.peak = self.peak.max(self.in_flight);
                self.schedule_by(now + settings.renew_interval);
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
        self.schedule_by(last.unwrap_or(now));
        Err(refusal)
    }

    /// Frees a slot. Returns whether the outcome indicates a cold start.
    pub(super) fn release(&mut self, now: Instant, outcome: &Outcome, settings: &Settings) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let cold = match outcome {
            Outcome::Completed { first_byte } => {
                self.completed += 1;
                self.record_first_byte(*first_byte, settings)
            }
            Outcome::Refused | Outcome::Disconnected => true,
            Outcome::Stalled | Outcome::Cancelled | Outcome::Failed => false,
        };
        if cold {
            self.cold_signals += 1;
            self.last_cold_signal = Some(now);
            self.slots = 0;
            self.schedule_by(now);
        }
        cold
    }

    /// Applies a grant. Its sequence number tells whether answers were reordered.
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
        if grant.fence > 0
            && self
                .report_from
                .is_some_and(|first| grant.sequence >= first)
        {
            self.report_from = None;
            // The next request confirms this grant to the home.
            self.schedule_by(sent + settings.retry_interval);
        }
        let reduced = grant.slots < self.slots;
        self.grant_sequence = grant.sequence;
        self.slots = grant.slots;
        self.fence = grant.fence;
        self.expires = Some(sent + grant.ttl);
        self.sent.retain(|(number, _)| *number >= grant.sequence);
        if reduced || self.refused > 0 {
            self.schedule_by(sent + settings.retry_interval);
        }
    }

    /// Reports to a new home, even if no slot is wanted. Reports are repeated until the node asked
    /// has answered as the home, that is with a fencing token.
    pub(super) fn report_to_new_home(&mut self, now: Instant) {
        self.report_from = Some(self.sequence + 1);
        self.due = Some(now);
    }

    /// Returns all slots and stops requesting, as when the node leaves.
    pub(super) fn close(&mut self, now: Instant) {
        self.last_used = None;
        self.slots = 0;
        self.due = Some(now);
    }

    /// Returns the request to send now, if one is due.
    pub(super) fn request_due(&mut self, now: Instant, settings: &Settings) -> Option<Request> {
        if self.due.is_none_or(|due| now < due) {
            return None;
        }
        self.expire_cold_signals(now, settings);
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
        let unmet = unmet || self.report_from.is_some();
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

    /// Number of slots to request: half as much again as the recent peak, and room for refused
    /// attempts; an idle holder only keeps the slots in use.
    fn wanted(&self, now: Instant, settings: &Settings) -> u32 {
        let idle = self
            .last_used
            .is_none_or(|at| now >= at + settings.idle_timeout);
        if idle {
            return self.in_flight;
        }
        let peak = self.peak.max(self.in_flight);
        peak + peak / 2 + self.refused.max(1)
    }

    /// Resets the count of cold-start signals after `Settings::max_run_time` without any.
    fn expire_cold_signals(&mut self, now: Instant, settings: &Settings) {
        if self
            .last_cold_signal
            .is_some_and(|at| now >= at + settings.max_run_time)
        {
            self.last_cold_signal = None;
            self.cold_signals = 0;
        }
    }

    /// Records a time to the first byte. Returns whether it indicates a cold start, which takes
    /// several slow ones in a row. Slow ones do not count towards the moving average.
    fn record_first_byte(&mut self, time: Duration, settings: &Settings) -> bool {
        let Some(mean) = self.mean_first_byte else {
            self.mean_first_byte = Some(time);
            return false;
        };
        if time > settings.slow_min && time > mean * settings.slow_factor {
            self.slow_in_a_row += 1;
            return self.slow_in_a_row >= SLOW_IN_A_ROW;
        }
        self.slow_in_a_row = 0;
        self.mean_first_byte = Some((mean * (FIRST_BYTE_WEIGHT - 1) + time) / FIRST_BYTE_WEIGHT);
        false
    }

    /// Makes the next request due no later than the given time.
    fn schedule_by(&mut self, due: Instant) {
        self.due = Some(self.due.map_or(due, |set| set.min(due)));
    }
}
