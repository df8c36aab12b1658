//! Whether the applied revision may still be worked on.

use crate::clock::{age_ms, ago};
use crate::{Action, Stale, View, Voter};
use contract::Revision;
use std::time::Instant;
use wire::Proof;

impl View {
    /// Whether new work may start on the applied revision.
    ///
    /// The proof is either a read of the head, own or passed on, or contact with a majority of the
    /// members: an accepted greater revision was applied by a majority, and any two majorities meet.
    pub fn may_start(&self, now: Instant) -> Result<(), Stale> {
        let is_recent = |at: Instant| now <= at + self.settings.horizon;
        if self.head_read_at.is_some_and(is_recent) {
            return Ok(());
        }
        if self.touched_majority(now).is_some_and(is_recent) {
            return Ok(());
        }
        Err(Stale {
            revision: self.revision(),
        })
    }

    /// When the head was last read, here or by the node that passed it on.
    pub fn head_read_at(&self) -> Option<Instant> {
        self.head_read_at
    }

    /// Takes in a read of the head that was asked for at `asked`, and passes it on.
    pub fn record_head_read(
        &mut self,
        head: Revision,
        asked: Instant,
        now: Instant,
    ) -> Vec<Action> {
        self.read = self.read.max(Some(asked));
        self.prove(head, asked);
        let mut actions = self.announce(now);
        for node in self.linked() {
            actions.extend(self.pass_proof(&node, now));
        }
        actions
    }

    /// No revision greater than `revision` existed at `at`.
    pub(crate) fn prove(&mut self, revision: Revision, at: Instant) {
        if revision <= self.revision() {
            self.head_read_at = self.head_read_at.max(Some(at));
            return;
        }
        if self.awaited.is_none_or(|(_, awaited)| awaited < at) {
            self.awaited = Some((revision, at));
        }
    }

    /// Uses a proof that came before its revision.
    pub(crate) fn redeem_awaited(&mut self) {
        let Some((revision, at)) = self.awaited else {
            return;
        };
        if revision <= self.revision() {
            self.awaited = None;
            self.head_read_at = self.head_read_at.max(Some(at));
        }
    }

    /// Proof to pass on.
    pub(crate) fn proof(&self, now: Instant) -> Option<Proof> {
        Some(Proof {
            age_ms: age_ms(self.head_read_at?, now),
            revision: self.revision(),
        })
    }

    pub(crate) fn receive_proof(&mut self, proof: &Proof, bound: Option<Instant>) {
        if let Some(at) = bound.and_then(|bound| ago(bound, proof.age_ms)) {
            self.prove(proof.revision, at);
        }
    }

    /// Latest time since when a majority of the members was heard at the applied revision or older.
    fn touched_majority(&self, now: Instant) -> Option<Instant> {
        let voters = self.membership.voters();
        let mut times: Vec<_> = voters.iter().map(|voter| self.touch(voter, now)).collect();
        times.sort_unstable();
        let from_end = self.membership.majority();
        times.len().checked_sub(from_end).and_then(|at| times[at])
    }

    fn touch(&self, voter: &Voter, now: Instant) -> Option<Instant> {
        if *voter == self.voter() {
            return Some(now);
        }
        let evidence = self.witnesses.of(voter);
        evidence.at.filter(|_| evidence.revision <= self.revision())
    }
}
