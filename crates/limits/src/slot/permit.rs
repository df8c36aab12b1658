//! Permission to send one request to one backend server.

use super::Refusal;
use contract::{BackendId, Revision};
use std::time::Instant;

/// Permission to send one request. Not `Clone`, because each permit covers a single request.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Permit {
    pub(super) backend: BackendId,
    pub(super) expires: Instant,
    pub(super) fence: Revision,
}

impl Permit {
    /// Checks that the grant is still valid; call it immediately before the request is sent.
    /// Returns the fencing token to send along.
    pub fn check(&self, now: Instant) -> Result<Revision, Refusal> {
        if now >= self.expires {
            return Err(Refusal::Expired(self.backend.clone()));
        }
        Ok(self.fence)
    }

    /// Backend server to send to.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Time from which the request may no longer be sent.
    pub fn expires(&self) -> Instant {
        self.expires
    }
}
