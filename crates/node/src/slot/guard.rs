//! RAII guard of an occupied slot.

use super::Slots;
use contract::{BackendId, Revision};
use limits::slot::{Outcome, Permit, Refusal};
use std::sync::Arc;
use std::time::Instant;

/// An occupied slot. If it is dropped without an outcome, the request counts as cancelled.
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

    /// Returns the backend server.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Checks that the slot may still be used; call it immediately before the request is sent.
    /// Returns the fencing token to send along.
    pub fn check(&self, now: Instant) -> Result<Revision, Refusal> {
        match &self.permit {
            Some(permit) => permit.check(now),
            None => Err(Refusal::Expired(self.backend.clone())),
        }
    }

    /// Releases the slot with the outcome of its request.
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
