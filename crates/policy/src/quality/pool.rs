//! Ratings of one version at one task, by customer.

use crate::quality::{Counter, Counts, Delta, Origin};
use contract::{CustomerId, Map};
use std::time::{Duration, Instant};

/// Ratings of one version at one task.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) all: Counter,
    pub(super) customers: Map<CustomerId, Entry>,
}

/// Ratings of one customer.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) total: Counter,
    pub(super) own: Counter,
    pub(super) sequence: u64,
    pub(super) peers: Map<Origin, Peer>,
}

/// The newest counts that a peer has sent.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) sequence: u64,
    pub(super) counter: Counter,
}

impl Pool {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            all: Counter::new(now, Counts::default()),
            customers: Map::default(),
        }
    }

    pub(super) fn entry(&mut self, now: Instant, customer: &str) -> &mut Entry {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.to_owned(), Entry::new(now));
        }
        self.customers
            .get_mut(customer)
            .expect("the entry was inserted above")
    }
}

impl Entry {
    fn new(now: Instant) -> Self {
        let zero = Counter::new(now, Counts::default());
        Self {
            total: zero,
            own: zero,
            sequence: 0,
            peers: Map::default(),
        }
    }

    /// Takes a peer's counts and returns by how much they grew; older or equal ones change nothing.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        half_life: Duration,
        origin: &Origin,
        sequence: u64,
        counts: Counts,
    ) -> Option<Delta> {
        let before = match self.peers.get(origin) {
            Some(peer) if peer.sequence >= sequence => return None,
            Some(peer) => Some(peer.counter.counts_at(now, half_life)),
            None => None,
        };
        let peer = Peer {
            sequence,
            counter: Counter::new(now, counts),
        };
        self.peers.insert(origin.clone(), peer);
        let growth = Delta {
            counts: counts - before.unwrap_or_default(),
            initial: before.is_none(),
        };
        self.total.add(now, half_life, growth.counts);
        Some(growth)
    }
}
