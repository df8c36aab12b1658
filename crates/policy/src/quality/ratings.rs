//! Ratings of one version for one task, by customer.

use crate::quality::{Counter, Counts, Delta, Origin};
use contract::{CustomerId, Map};
use std::time::{Duration, Instant};

/// Ratings of one version for one task.
#[derive(Debug)]
pub(super) struct Ratings {
    /// Over all customers.
    pub(super) total: Counter,
    pub(super) customers: Map<CustomerId, Entry>,
}

/// Ratings of one customer.
#[derive(Debug)]
pub(super) struct Entry {
    /// Ratings of this node and its peers.
    pub(super) total: Counter,
    /// Ratings of this node.
    pub(super) own: Counter,
    /// Sequence number of the last change to `own`.
    pub(super) sequence: u64,
    pub(super) peers: Map<Origin, Peer>,
}

/// The latest counts received from a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) sequence: u64,
    pub(super) counter: Counter,
}

impl Ratings {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            total: Counter::new(now, Counts::default()),
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

    /// Replaces a peer's counts and returns the difference to the known ones. Counts with a
    /// sequence number that isn't newer are ignored.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        half_life: Duration,
        origin: &Origin,
        sequence: u64,
        counts: Counts,
    ) -> Option<Delta> {
        let known = match self.peers.get(origin) {
            Some(peer) if peer.sequence >= sequence => return None,
            Some(peer) => Some(peer.counter.counts_at(now, half_life)),
            None => None,
        };
        let peer = Peer {
            sequence,
            counter: Counter::new(now, counts),
        };
        self.peers.insert(origin.clone(), peer);
        let delta = Delta {
            counts: counts - known.unwrap_or_default(),
            initial: known.is_none(),
        };
        self.total.add(now, half_life, delta.counts);
        Some(delta)
    }
}
