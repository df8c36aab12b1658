//! Progress of other nodes.

use crate::Voter;
use crate::progress::Progress;
use contract::{Map, Revision};
use std::time::Instant;

/// Progress of all known voters. Progress never decreases: an incarnation that has applied a
/// revision never reverts it.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    voters: Map<Voter, Progress>,
}

impl Tracker {
    pub(crate) fn record(&mut self, voter: &Voter, revision: Revision, alive_at: Option<Instant>) {
        if let Some(progress) = self.voters.get_mut(voter) {
            progress.revision = progress.revision.max(revision);
            progress.alive_at = progress.alive_at.max(alive_at);
            return;
        }
        let progress = Progress { revision, alive_at };
        self.voters.insert(voter.clone(), progress);
    }

    pub(crate) fn get(&self, voter: &Voter) -> Progress {
        self.voters.get(voter).copied().unwrap_or_default()
    }

    /// Keeps only the voters that satisfy a predicate.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Voter) -> bool) {
        self.voters.retain(|voter, _| keep(voter));
    }
}
