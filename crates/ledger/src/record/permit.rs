//! Leave to run a call that may not be repeated.

use super::local::{Local, Place};
use super::{Outcome, Row, State};

/// Leave to run a call once. Dropped before it is dispatched, it gives the key back; dropped
/// after that, the call's outcome becomes unknown.
#[derive(Debug)]
#[must_use = "a permit that is dropped gives up its call"]
pub struct Permit {
    local: Local,
    place: Place,
    request: String,
    sequence: u64,
    dispatched: bool,
    ended: bool,
}

impl Permit {
    pub(super) fn new(local: &Local, place: Place, request: &str, sequence: u64) -> Self {
        Self {
            local: local.clone(),
            place,
            request: request.to_owned(),
            sequence,
            dispatched: false,
            ended: false,
        }
    }

    /// Marks that bytes are about to leave. From here on "not run" needs proof.
    pub fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// The backend server proved that it refused the call: it hasn't run, and may be sent again.
    pub fn mark_refused(&mut self) {
        self.dispatched = false;
    }

    /// Ends the call with its outcome; gives the row to write.
    pub(super) fn finish(mut self, outcome: Outcome) -> (Place, Row) {
        let row = self.end(State::Finished(outcome));
        (self.place.clone(), row)
    }

    /// The call is another sender's: nothing of this claim stands anywhere.
    pub(super) fn yield_to_other(mut self) {
        self.ended = true;
        self.local.drop_claim(&self.place);
    }

    /// Which claim of this node the permit is for.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    fn end(&mut self, state: State) -> Row {
        self.ended = true;
        let row = self.local.row(self.sequence, &self.request, state);
        self.local.end(&self.place, row.clone());
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
        self.local.abandon(&self.place, self.sequence);
    }
}
