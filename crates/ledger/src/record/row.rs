//! Stored form of a run record.

use super::Outcome;
use contract::Owner;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of digest bytes in a revision.
const REVISION_BYTES: usize = 7;

/// A run record as stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Owner of the claim, which alone may run the call.
    pub owner: Owner,
    /// Sequence number of the claim among the owner's claims.
    pub sequence: u64,
    /// Digest of the request.
    pub request: String,
    /// State of the call.
    pub state: State,
}

/// State of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is claimed; the owner may have sent it.
    Claimed,
    /// It ran, with this outcome.
    Finished(Outcome),
    /// It was sent, but its outcome was lost.
    Unknown,
}

impl Row {
    /// Revision of the row in the table. It differs between claims, and is incremented once the call
    /// has ended, so that a conditional write can't affect the row of another claim.
    pub(super) fn revision(&self) -> u64 {
        let claimed = self.claim_revision();
        match self.state {
            State::Claimed => claimed,
            State::Finished(_) | State::Unknown => claimed + 1,
        }
    }

    /// Revision of the row while it was claimed.
    pub(super) fn claim_revision(&self) -> u64 {
        let mut hasher = Sha256::new();
        hasher.update(self.owner.incarnation.to_be_bytes());
        hasher.update(self.sequence.to_be_bytes());
        hasher.update(self.owner.node.as_bytes());
        let digest = hasher.finalize();
        let bytes = digest.iter().take(REVISION_BYTES);
        bytes.fold(0, |revision, byte| (revision << 8) | u64::from(*byte)) << 1
    }
}
