//! The peer's side: copies of other nodes' bills.

use super::{Ack, Batch, Bill, Copies, Settings};
use contract::{Map, Owner};
use std::collections::BTreeMap;
use std::time::Instant;

#[derive(Debug)]
struct Shelf {
    pages: BTreeMap<u64, Vec<Bill>>,
    heard: Instant,
}

/// Copies of other nodes' bills. An owner that falls silent has its bills written from here;
/// the row's name is the owner's, so that several writers come to one row.
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
    shelves: Map<Owner, Shelf>,
}

impl Replica {
    /// Holds nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            shelves: Map::default(),
        }
    }

    /// Takes copies; `None` when there is no room.
    pub fn store(&mut self, now: Instant, copies: Copies) -> Option<Ack> {
        let full = self.count() + copies.bills.len() > self.settings.replica_capacity;
        let shelf = self.shelves.entry(copies.owner).or_insert_with(|| Shelf {
            pages: BTreeMap::new(),
            heard: now,
        });
        shelf.heard = now;
        shelf
            .pages
            .retain(|sequence, _| *sequence >= copies.stored_below);
        if full {
            return None;
        }
        let page = shelf.pages.entry(copies.sequence).or_default();
        // Lines beyond a gap are left out; the owner sends them again.
        if copies.start <= page.len() {
            page.truncate(copies.start);
            page.extend(copies.bills);
        }
        Some(Ack {
            sequence: copies.sequence,
            lines: page.len(),
        })
    }

    /// Batches of owners that have been silent for too long. Write them only where no row
    /// stands, then call `mark_stored`.
    pub fn overdue(&self, now: Instant) -> Vec<Batch> {
        let silent = self
            .shelves
            .iter()
            .filter(|(_, shelf)| now >= shelf.heard + self.settings.owner_timeout);
        silent
            .flat_map(|(owner, shelf)| {
                shelf
                    .pages
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

    /// The platform keeps a batch.
    pub fn mark_stored(&mut self, owner: &Owner, sequence: u64) {
        let Some(shelf) = self.shelves.get_mut(owner) else {
            return;
        };
        shelf.pages.remove(&sequence);
        if shelf.pages.is_empty() {
            self.shelves.remove(owner);
        }
    }

    /// Bills held for others.
    pub fn count(&self) -> usize {
        self.shelves
            .values()
            .flat_map(|shelf| shelf.pages.values())
            .map(Vec::len)
            .sum()
    }
}
