//! Whether the applied revision is current enough for new work to start.

use crate::clock::{age_ms, ago};
use crate::{Action, Stale, View, Voter};
use contract::Revision;
use std::time::Instant;
use wire::Proof;

impl View {
    /// Checks whether new work may start on the applied revision.
    ///
    /// The revision is current if, within the horizon, the head was read, here or by a node that
    /// forwarded it, or a majority of the members was contacted. Contact with a majority suffices
    /// because an accepted greater revision has been applied by a majority, and any two majorities
    /// overlap.
    pub fn may_start(&self, now: Instant) -> Result<(), Stale> {
        let is_recent = |at: Instant| now <= at + self.settings.horizon;
        if self.head_read_at.is_some_and(is_recent) {
            return Ok(());
        }
        if self.majority_contact(now).is_some_and(is_recent) {
            return Ok(());
        }
        Err(Stale {
            revision: self.revision(),
        })
    }

    /// Time of the latest head read that confirmed the applied revision, by this node or by one that
    /// forwarded it.
    pub fn head_read_at(&self) -> Option<Instant> {
        self.head_read_at
    }

    /// Records a read of the head that was requested at `asked`, and forwards it to all peers.
    pub fn record_head_read(
        &mut self,
        head: Revision,
        asked: Instant,
        now: Instant,
    ) -> Vec<Action> {
        self.own_head_read_at = self.own_head_read_at.max(Some(asked));
        self.record_proof(head, asked);
        let mut actions = self.announce(now);
        for node in self.linked() {
            actions.extend(self.forward_proof(&node, now));
        }
        actions
    }

    /// Records that no revision greater than `revision` existed at `at`.
    pub(crate) fn record_proof(&mut self, revision: Revision, at: Instant) {
        if revision <= self.revision() {
            self.head_read_at = self.head_read_at.max(Some(at));
            return;
        }
        if self.pending_proof.is_none_or(|(_, pending)| pending < at) {
            self.pending_proof = Some((revision, at));
        }
    }

    /// Applies a proof that arrived before its revision was applied.
    pub(crate) fn apply_pending_proof(&mut self) {
        let Some((revision, at)) = self.pending_proof else {
            return;
        };
        if revision <= self.revision() {
            self.pending_proof = None;
            self.head_read_at = self.head_read_at.max(Some(at));
        }
    }

    /// The proof to forward to peers.
    pub(crate) fn proof(&self, now: Instant) -> Option<Proof> {
        Some(Proof {
            age_ms: age_ms(self.head_read_at?, now),
            revision: self.revision(),
        })
    }

    pub(crate) fn receive_proof(&mut self, proof: &Proof, sent_after: Option<Instant>) {
        if let Some(at) = sent_after.and_then(|sent_after| ago(sent_after, proof.age_ms)) {
            self.record_proof(proof.revision, at);
        }
    }

    /// Latest time since which each member of some majority is known to have been running with no
    /// revision greater than the applied one.
    fn majority_contact(&self, now: Instant) -> Option<Instant> {
        let voters = self.membership.voters();
        let mut times: Vec<_> = voters
            .iter()
            .map(|voter| self.last_contact(voter, now))
            .collect();
        times.sort_unstable();
        let from_end = self.membership.majority();
        times.len().checked_sub(from_end).and_then(|at| times[at])
    }

    fn last_contact(&self, voter: &Voter, now: Instant) -> Option<Instant> {
        if *voter == self.voter() {
            return Some(now);
        }
        let progress = self.tracker.get(voter);
        progress
            .alive_at
            .filter(|_| progress.revision <= self.revision())
    }
}
