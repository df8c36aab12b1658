//! Permission to run a call that must not be repeated.

use super::registry::{Location, Registry};
use super::{Outcome, Row, State};

/// Permission to run a call once. Dropping it before the call is dispatched releases the key; dropping
/// it later makes the outcome of the call unknown.
#[derive(Debug)]
#[must_use = "dropping a permit abandons its call"]
pub struct Permit {
    registry: Registry,
    location: Location,
    request: String,
    sequence: u64,
    dispatched: bool,
    ended: bool,
}

impl Permit {
    pub(super) fn new(
        registry: &Registry,
        location: Location,
        request: &str,
        sequence: u64,
    ) -> Self {
        Self {
            registry: registry.clone(),
            location,
            request: request.to_owned(),
            sequence,
            dispatched: false,
            ended: false,
        }
    }

    /// Records that the call is about to be sent. From here on, it counts as possibly run unless the
    /// backend server proves otherwise.
    pub fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Records that the backend server provably refused the call: it has not run and may be sent again.
    pub fn mark_refused(&mut self) {
        self.dispatched = false;
    }

    /// Ends the call with its outcome. Returns the row to write.
    pub(super) fn finish(mut self, outcome: Outcome) -> (Location, Row) {
        let row = self.end(State::Finished(outcome));
        (self.location.clone(), row)
    }

    /// Discards the permit because another sender has claimed the call. This claim has no row.
    pub(super) fn discard(mut self) {
        self.ended = true;
        self.registry.discard(&self.location);
    }

    /// Sequence number of the claim.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    fn end(&mut self, state: State) -> Row {
        self.ended = true;
        let row = self.registry.row(self.sequence, &self.request, state);
        self.registry.mark_ended(&self.location, row.clone());
        row
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.dispatched {
            self.end(State::Unknown);
            return;
        }
        self.registry.mark_orphaned(&self.location, self.sequence);
    }
}
