//! Acceptance of revisions by a majority of the members.

use crate::{Membership, Pending, View, Voter};
use contract::{Incarnation, NodeId, Revision};
use wire::Entry;

impl View {
    /// The greatest revision that this node knows to be accepted. No node will revert it.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// Checks whether a change may be proposed as the successor of the applied revision.
    pub fn may_propose(&self, entries: &[Entry]) -> Result<(), Pending> {
        let changes_members = self.membership.after(entries) != self.membership;
        let pending = self.previous.is_some() || changes_members && self.accepted < self.revision();
        if pending {
            return Err(Pending {
                revision: self.revision(),
            });
        }
        Ok(())
    }

    /// Members that are not known to have applied a revision.
    pub fn outstanding(&self, revision: Revision) -> Vec<NodeId> {
        let voters = self.membership.voters().iter();
        voters
            .filter(|voter| self.acknowledged_revision(voter) < revision)
            .map(|voter| voter.node.clone())
            .collect()
    }

    /// Records that an incarnation of a node is known to have terminated. It counts as having
    /// acknowledged every revision.
    pub fn confirm_terminated(&mut self, node: &str, incarnation: Incarnation) {
        self.terminated.insert(Voter {
            node: node.to_owned(),
            incarnation,
        });
        self.update_accepted();
    }

    /// Whether an incarnation of a node is known to have terminated.
    pub fn is_terminated(&self, node: &str, incarnation: Incarnation) -> bool {
        let node = node.to_owned();
        self.terminated.contains(&Voter { node, incarnation })
    }

    /// Recomputes the accepted revision after new acknowledgements.
    pub(crate) fn update_accepted(&mut self) {
        if let Some(previous) = &self.previous {
            if self.majority_revision(previous) < self.revision() {
                return;
            }
            self.previous = None;
            self.accepted = self.revision();
        }
        let reached = self
            .majority_revision(&self.membership)
            .min(self.revision());
        self.accepted = self.accepted.max(reached);
    }

    /// The greatest revision that a majority has applied.
    fn majority_revision(&self, membership: &Membership) -> Revision {
        let voters = membership.voters();
        let mut revisions: Vec<_> = voters
            .iter()
            .map(|one| self.acknowledged_revision(one))
            .collect();
        revisions.sort_unstable();
        match revisions.len().checked_sub(membership.majority()) {
            Some(at) => revisions[at],
            // There are no members yet, so no acknowledgement is needed.
            None => Revision::MAX,
        }
    }

    fn acknowledged_revision(&self, voter: &Voter) -> Revision {
        if *voter == self.voter() {
            return self.revision();
        }
        if self.terminated.contains(voter) {
            return Revision::MAX;
        }
        self.tracker.get(voter).revision
    }
}
