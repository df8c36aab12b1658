//! This node's own claims, while they matter.

use super::{Row, State};
use contract::{Map, Owner};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Partition and sort key of a run record.
pub(super) type Place = (String, String);

/// What this node knows of one of its own claims.
#[derive(Clone, Debug)]
pub(super) enum Entry {
    /// The claim is being written, or its permit is in use.
    Live {
        /// Digest of the request.
        request: String,
    },
    /// The outcome isn't in the table yet.
    Ended(Box<Row>),
    /// Nothing was sent under it; a row may stand or still appear.
    Orphan {
        /// Sequence of the claim.
        sequence: u64,
        /// Sweeps left before it is given up.
        sweeps: u32,
    },
}

/// Own claims by place. The lock is held for single steps only.
#[derive(Clone, Debug)]
pub(super) struct Local {
    pub(super) owner: Owner,
    sweeps: u32,
    state: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    sequence: u64,
    entries: Map<Place, Entry>,
}

impl Local {
    pub(super) fn new(owner: Owner, sweeps: u32) -> Self {
        Self {
            owner,
            sweeps,
            state: Arc::default(),
        }
    }

    /// Starts a claim, unless one of this node's own claims stands at the place.
    pub(super) fn start(&self, place: &Place, request: &str) -> Result<u64, Entry> {
        let mut inner = self.lock();
        match inner.entries.get(place) {
            None | Some(Entry::Orphan { .. }) => {}
            Some(entry) => return Err(entry.clone()),
        }
        inner.sequence += 1;
        let sequence = inner.sequence;
        let request = request.to_owned();
        inner.entries.insert(place.clone(), Entry::Live { request });
        Ok(sequence)
    }

    /// The claim isn't this node's after all.
    pub(super) fn drop_claim(&self, place: &Place) {
        self.lock().entries.remove(place);
    }

    /// Nothing was sent under the claim.
    pub(super) fn abandon(&self, place: &Place, sequence: u64) {
        let sweeps = self.sweeps;
        let orphan = Entry::Orphan { sequence, sweeps };
        self.lock().entries.insert(place.clone(), orphan);
    }

    /// The call ended; the row is to be written.
    pub(super) fn end(&self, place: &Place, row: Row) {
        let entry = Entry::Ended(Box::new(row));
        self.lock().entries.insert(place.clone(), entry);
    }

    /// The row of an ended call stands in the table.
    pub(super) fn settle(&self, place: &Place, sequence: u64) {
        let mut inner = self.lock();
        let same = match inner.entries.get(place) {
            Some(Entry::Ended(row)) => row.sequence == sequence,
            Some(Entry::Orphan {
                sequence: found, ..
            }) => *found == sequence,
            _ => false,
        };
        if same {
            inner.entries.remove(place);
        }
    }

    /// One sweep found no row for an orphan; true while it is worth another look.
    pub(super) fn missed(&self, place: &Place) {
        let mut inner = self.lock();
        let spent = match inner.entries.get_mut(place) {
            Some(Entry::Orphan { sweeps, .. }) => {
                *sweeps = sweeps.saturating_sub(1);
                *sweeps == 0
            }
            _ => false,
        };
        if spent {
            inner.entries.remove(place);
        }
    }

    /// Claims whose row needs work.
    pub(super) fn unsettled(&self) -> Vec<(Place, Entry)> {
        self.lock()
            .entries
            .iter()
            .filter(|(_, entry)| !matches!(entry, Entry::Live { .. }))
            .map(|(place, entry)| (place.clone(), entry.clone()))
            .collect()
    }

    /// A row of one of this node's claims.
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
