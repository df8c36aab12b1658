//! Claims of this node that are unfinished or not yet recorded in the table.

use super::{Row, State};
use contract::{Map, Owner};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Partition and sort key of a run record.
pub(super) type Location = (String, String);

/// State of one of this node's claims.
#[derive(Clone, Debug)]
pub(super) enum Entry {
    /// The claim is being written, or its permit is in use.
    Active {
        /// Digest of the request.
        request: String,
    },
    /// The call has ended, but its outcome isn't in the table yet.
    Ended(Box<Row>),
    /// Nothing was sent under the claim. Its row may exist or, if the write is delayed, still appear.
    Orphan {
        /// Sequence number of the claim.
        sequence: u64,
        /// Remaining sweeps that look for the row before the claim is forgotten.
        sweeps_left: u32,
    },
}

/// This node's claims by location. The lock is only held for single operations.
#[derive(Clone, Debug)]
pub(super) struct Registry {
    pub(super) owner: Owner,
    orphan_sweeps: u32,
    state: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    sequence: u64,
    entries: Map<Location, Entry>,
}

impl Registry {
    pub(super) fn new(owner: Owner, orphan_sweeps: u32) -> Self {
        Self {
            owner,
            orphan_sweeps,
            state: Arc::default(),
        }
    }

    /// Starts a claim and returns its sequence number. Fails with the existing claim if this node has
    /// one at the location that isn't an orphan.
    pub(super) fn start(&self, location: &Location, request: &str) -> Result<u64, Entry> {
        let mut inner = self.lock();
        match inner.entries.get(location) {
            None | Some(Entry::Orphan { .. }) => {}
            Some(entry) => return Err(entry.clone()),
        }
        inner.sequence += 1;
        let sequence = inner.sequence;
        let request = request.to_owned();
        inner
            .entries
            .insert(location.clone(), Entry::Active { request });
        Ok(sequence)
    }

    /// Removes a claim that turned out to belong to another sender.
    pub(super) fn discard(&self, location: &Location) {
        self.lock().entries.remove(location);
    }

    /// Marks a claim as orphaned: nothing was sent under it.
    pub(super) fn mark_orphaned(&self, location: &Location, sequence: u64) {
        let sweeps_left = self.orphan_sweeps;
        let orphan = Entry::Orphan {
            sequence,
            sweeps_left,
        };
        self.lock().entries.insert(location.clone(), orphan);
    }

    /// Marks a call as ended. Its row remains to be written.
    pub(super) fn mark_ended(&self, location: &Location, row: Row) {
        let entry = Entry::Ended(Box::new(row));
        self.lock().entries.insert(location.clone(), entry);
    }

    /// Removes a claim that needs no more work: the row of the ended call is in the table, or the
    /// orphan has been removed.
    pub(super) fn resolve(&self, location: &Location, sequence: u64) {
        let mut inner = self.lock();
        let same = match inner.entries.get(location) {
            Some(Entry::Ended(row)) => row.sequence == sequence,
            Some(Entry::Orphan {
                sequence: found, ..
            }) => *found == sequence,
            _ => false,
        };
        if same {
            inner.entries.remove(location);
        }
    }

    /// Records that a sweep found no row for an orphan, and forgets the orphan after the last sweep.
    pub(super) fn record_miss(&self, location: &Location) {
        let mut inner = self.lock();
        let is_last = match inner.entries.get_mut(location) {
            Some(Entry::Orphan { sweeps_left, .. }) => {
                *sweeps_left = sweeps_left.saturating_sub(1);
                *sweeps_left == 0
            }
            _ => false,
        };
        if is_last {
            inner.entries.remove(location);
        }
    }

    /// Claims whose row has yet to be written or removed.
    pub(super) fn unresolved(&self) -> Vec<(Location, Entry)> {
        self.lock()
            .entries
            .iter()
            .filter(|(_, entry)| !matches!(entry, Entry::Active { .. }))
            .map(|(location, entry)| (location.clone(), entry.clone()))
            .collect()
    }

    /// Creates the row of one of this node's claims.
    pub(super) fn row(&self, sequence: u64, request: &str, state: State) -> Row {
        Row {
            owner: self.owner.clone(),
            sequence,
            request: request.to_owned(),
            state,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
