//! The peer's side: storage of copies of other nodes' bills.

use super::{Ack, Batch, Bill, Copies, Settings};
use contract::{Map, Owner};
use std::collections::BTreeMap;
use std::time::Instant;

/// Copies from one owner, by batch.
#[derive(Debug)]
struct Source {
    batches: BTreeMap<u64, Vec<Bill>>,
    last_heard: Instant,
}

/// Copies of other nodes' bills. The bills of an unresponsive owner are written from here. The keys
/// of the rows are derived from the owner and the batch, so several peers write to the same row.
///
/// ```
/// use contract::Owner;
/// use ledger::bill::{Copies, Replica, Settings};
/// use std::time::Instant;
/// let settings = Settings::default();
/// let mut replica = Replica::new(settings.clone());
/// let now = Instant::now();
/// let owner = Owner::new("n1", 1);
/// let copies = Copies { owner, sequence: 1, start: 0, bills: vec![], stored_below: 1 };
/// assert_eq!(replica.store(now, copies).unwrap().lines, 0);
/// assert!(replica.overdue(now).is_empty());
/// ```
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    sources: Map<Owner, Source>,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            sources: Map::default(),
        }
    }

    /// Stores copies; `None` if there is no room.
    pub fn store(&mut self, now: Instant, copies: Copies) -> Option<Ack> {
        let full = self.count() + copies.bills.len() > self.settings.replica_capacity;
        let source = self.sources.entry(copies.owner).or_insert_with(|| Source {
            batches: BTreeMap::new(),
            last_heard: now,
        });
        source.last_heard = now;
        source
            .batches
            .retain(|sequence, _| *sequence >= copies.stored_below);
        if full {
            return None;
        }
        let batch = source.batches.entry(copies.sequence).or_default();
        // Lines after a gap are discarded; the owner sends them again.
        if copies.start <= batch.len() {
            batch.truncate(copies.start);
            batch.extend(copies.bills);
        }
        Some(Ack {
            sequence: copies.sequence,
            lines: batch.len(),
        })
    }

    /// Batches of owners that have been unresponsive for longer than the timeout. They must be written
    /// with [`Batch::recover`], and then passed to [`Self::mark_stored`].
    pub fn overdue(&self, now: Instant) -> Vec<Batch> {
        let unresponsive = self
            .sources
            .iter()
            .filter(|(_, source)| now >= source.last_heard + self.settings.owner_timeout);
        unresponsive
            .flat_map(|(owner, source)| {
                source
                    .batches
                    .iter()
                    .filter(|(_, bills)| !bills.is_empty())
                    .map(|(sequence, bills)| Batch {
                        owner: owner.clone(),
                        sequence: *sequence,
                        bills: bills.clone(),
                    })
            })
            .collect()
    }

    /// Records that the platform has stored a batch, and discards its copies.
    pub fn mark_stored(&mut self, owner: &Owner, sequence: u64) {
        let Some(source) = self.sources.get_mut(owner) else {
            return;
        };
        source.batches.remove(&sequence);
        if source.batches.is_empty() {
            self.sources.remove(owner);
        }
    }

    /// Number of bills held for other nodes.
    pub fn count(&self) -> usize {
        self.sources
            .values()
            .flat_map(|source| source.batches.values())
            .map(Vec::len)
            .sum()
    }
}
