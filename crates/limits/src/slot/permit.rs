//! Leave to send one request to one backend server.

use super::Refusal;
use contract::{BackendId, Revision};
use std::time::Instant;

/// Leave to send one request. It isn't `Clone`: one permit, one request.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit occupies a slot until it is released"]
pub struct Permit {
    pub(super) backend: BackendId,
    pub(super) expires: Instant,
    pub(super) fence: Revision,
}

impl Permit {
    /// Checks, last thing before bytes leave, that the grant still stands.
    /// Gives the fencing number to send along.
    pub fn check(&self, now: Instant) -> Result<Revision, Refusal> {
        if now >= self.expires {
            return Err(Refusal::Expired(self.backend.clone()));
        }
        Ok(self.fence)
    }

    /// The backend server to send to.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// When the permit stops allowing new work.
    pub fn expires(&self) -> Instant {
        self.expires
    }
}
