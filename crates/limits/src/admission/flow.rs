//! The waiting requests of one customer.

use crate::admission::Ticket;
use crate::admission::work::micros;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Place within a customer: the earliest deadline first.
pub(super) type Place = (Instant, Ticket);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) expected: Duration,
    pub(super) weight: u32,
}

/// The waiting requests of one customer at one priority.
#[derive(Debug)]
pub(super) struct Flow {
    /// Weighted work that the customer has had, in microseconds.
    pub(super) tag: u64,
    pub(super) weight: u32,
    pub(super) waiting: BTreeMap<Place, Waiting>,
    /// Work of the waiting requests in microseconds.
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

    pub(super) fn push(&mut self, place: Place, waiting: Waiting) {
        self.work += micros(waiting.expected);
        self.waiting.insert(place, waiting);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Waiting> {
        let waiting = self.waiting.remove(&place)?;
        self.work = self.work.saturating_sub(micros(waiting.expected));
        Some(waiting)
    }

    pub(super) fn first(&self) -> Option<Place> {
        self.waiting.first_key_value().map(|(place, _)| *place)
    }

    pub(super) fn last(&self) -> Option<Place> {
        self.waiting.last_key_value().map(|(place, _)| *place)
    }

    /// Work in microseconds of all that wait.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Work in microseconds of those whose deadline is earlier.
    pub(super) fn work_before(&self, deadline: Instant) -> u64 {
        let before = self.waiting.range(..(deadline, Ticket::MAX));
        before.map(|(_, waiting)| micros(waiting.expected)).sum()
    }
}
