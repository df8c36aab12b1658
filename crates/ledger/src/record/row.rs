//! A run record as it stands in the table.

use super::Outcome;
use contract::Owner;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the digest that make a revision.
const REVISION_BYTES: usize = 7;

/// A run record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Who may run the call.
    pub owner: Owner,
    /// Which claim of the owner this is.
    pub sequence: u64,
    /// Digest of the request.
    pub request: String,
    /// How far the call is.
    pub state: State,
}

/// How far a call is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner may have sent it.
    Claimed,
    /// It ran, with this outcome.
    Finished(Outcome),
    /// It was sent and its outcome is lost.
    Unknown,
}

impl Row {
    /// Revision under which the row stands in the table: unlike that of any other claim, and one
    /// more once the call has ended. A conditional write can't hit another claim's row.
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
