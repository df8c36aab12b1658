//! A slot in use.

use super::Slots;
use contract::{BackendId, Revision};
use limits::slot::{Outcome, Permit, Refusal};
use std::sync::Arc;
use std::time::Instant;

/// A slot in use. Dropped without an outcome, its request counts as cancelled.
#[derive(Debug)]
pub struct Guard {
    slots: Arc<Slots>,
    permit: Option<Permit>,
    backend: BackendId,
}

impl Guard {
    pub(super) fn new(slots: Arc<Slots>, permit: Permit) -> Self {
        Self {
            slots,
            backend: permit.backend().clone(),
            permit: Some(permit),
        }
    }

    /// The backend server.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Checks, last thing before bytes leave, that the slot may still be used.
    /// Gives the fencing number to send along.
    pub fn check(&self, now: Instant) -> Result<Revision, Refusal> {
        match &self.permit {
            Some(permit) => permit.check(now),
            None => Err(Refusal::Expired(self.backend.clone())),
        }
    }

    /// Gives the slot back with the outcome of its request.
    pub fn release(mut self, outcome: &Outcome) {
        if let Some(permit) = self.permit.take() {
            self.slots.release(permit, outcome);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.slots.release(permit, &Outcome::Cancelled);
        }
    }
}
