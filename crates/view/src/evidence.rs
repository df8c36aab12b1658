//! What is known of other nodes.

use crate::Voter;
use contract::{Map, Revision};
use std::time::Instant;

/// What a voter is known to have done.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    /// Greatest revision that it is known to have applied.
    pub revision: Revision,
    /// It ran at this time or later.
    pub at: Option<Instant>,
}

/// Evidence of all voters heard of. It only grows: a start that applied a revision did so for good.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    seen: Map<Voter, Evidence>,
}

impl Witnesses {
    pub(crate) fn note(&mut self, voter: &Voter, revision: Revision, at: Option<Instant>) {
        if let Some(evidence) = self.seen.get_mut(voter) {
            evidence.revision = evidence.revision.max(revision);
            evidence.at = evidence.at.max(at);
            return;
        }
        self.seen.insert(voter.clone(), Evidence { revision, at });
    }

    pub(crate) fn of(&self, voter: &Voter) -> Evidence {
        self.seen.get(voter).copied().unwrap_or_default()
    }

    /// Forgets voters for which the test fails.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Voter) -> bool) {
        self.seen.retain(|voter, _| keep(voter));
    }
}
