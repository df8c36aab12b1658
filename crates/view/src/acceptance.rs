//! Which revisions are accepted and in force.

use crate::{Membership, Pending, View, Voter};
use contract::{Incarnation, NodeId, Revision};
use wire::Entry;

impl View {
    /// The greatest revision that this node knows to be accepted: it reverts nowhere.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// Whether a change may be written on top of the applied revision.
    pub fn may_propose(&self, entries: &[Entry]) -> Result<(), Pending> {
        let changes_members = self.membership.after(entries) != self.membership;
        let pending = self.old.is_some() || changes_members && self.accepted < self.revision();
        if pending {
            return Err(Pending {
                revision: self.revision(),
            });
        }
        Ok(())
    }

    /// Members that aren't known to have applied a revision.
    pub fn outstanding(&self, revision: Revision) -> Vec<NodeId> {
        let voters = self.membership.voters().iter();
        voters
            .filter(|voter| self.acknowledged(voter) < revision)
            .map(|voter| voter.node.clone())
            .collect()
    }

    /// This start of a node has ended for certain: it counts as having acknowledged everything.
    pub fn confirm_terminated(&mut self, node: &str, incarnation: Incarnation) {
        self.terminated.insert(Voter {
            node: node.to_owned(),
            incarnation,
        });
        self.settle();
    }

    /// Whether a member has ended for certain.
    pub fn is_terminated(&self, node: &str, incarnation: Incarnation) -> bool {
        let node = node.to_owned();
        self.terminated.contains(&Voter { node, incarnation })
    }

    /// Draws what follows from new acknowledgements.
    pub(crate) fn settle(&mut self) {
        if let Some(old) = &self.old {
            if self.majority_at(old) < self.revision() {
                return;
            }
            self.old = None;
            self.accepted = self.revision();
        }
        let reached = self.majority_at(&self.membership).min(self.revision());
        self.accepted = self.accepted.max(reached);
    }

    /// The greatest revision that a majority has applied.
    fn majority_at(&self, membership: &Membership) -> Revision {
        let voters = membership.voters();
        let mut revisions: Vec<_> = voters.iter().map(|one| self.acknowledged(one)).collect();
        revisions.sort_unstable();
        match revisions.len().checked_sub(membership.majority()) {
            Some(at) => revisions[at],
            // Nobody is a member yet, so nobody has to agree.
            None => Revision::MAX,
        }
    }

    fn acknowledged(&self, voter: &Voter) -> Revision {
        if *voter == self.voter() {
            return self.revision();
        }
        if self.terminated.contains(voter) {
            return Revision::MAX;
        }
        self.witnesses.of(voter).revision
    }
}
