//! Waiting requests of one customer at one priority.

use crate::admission::Ticket;
use crate::admission::work::micros;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Position within a flow: ordered by deadline, then by ticket.
pub(super) type Position = (Instant, Ticket);

/// Expected run time and weight of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) expected: Duration,
    pub(super) weight: u32,
}

/// Waiting requests of one customer at one priority, in order of their deadlines.
#[derive(Debug)]
pub(super) struct Flow {
    /// Start tag of start-time fair queueing: weighted work of the requests that have run, in
    /// microseconds.
    pub(super) tag: u64,
    pub(super) weight: u32,
    pub(super) waiting: BTreeMap<Position, Waiting>,
    /// Total expected run time of the waiting requests in microseconds.
    work: u64,
}

impl Flow {
    pub(super) fn new(tag: u64, weight: u32) -> Self {
        Self {
            tag,
            weight,
            waiting: BTreeMap::new(),
            work: 0,
        }
    }

    pub(super) fn push(&mut self, position: Position, waiting: Waiting) {
        self.work += micros(waiting.expected);
        self.waiting.insert(position, waiting);
    }

    pub(super) fn remove(&mut self, position: Position) -> Option<Waiting> {
        let waiting = self.waiting.remove(&position)?;
        self.work = self.work.saturating_sub(micros(waiting.expected));
        Some(waiting)
    }

    pub(super) fn first(&self) -> Option<Position> {
        self.waiting
            .first_key_value()
            .map(|(position, _)| *position)
    }

    pub(super) fn last(&self) -> Option<Position> {
        self.waiting.last_key_value().map(|(position, _)| *position)
    }

    /// Total expected run time of all waiting requests, in microseconds.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Total expected run time of the requests with this deadline or an earlier one, in
    /// microseconds.
    pub(super) fn work_before(&self, deadline: Instant) -> u64 {
        let before = self.waiting.range(..(deadline, Ticket::MAX));
        before.map(|(_, waiting)| micros(waiting.expected)).sum()
    }
}
