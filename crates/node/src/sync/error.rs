//! Why a change isn't accepted, and whether it may be in the log.

use super::Conflict;
use contract::{ChangeId, Revision};

/// Why a change isn't accepted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An entry can't be read: not written.
    #[error("the change isn't valid: {0}")]
    Invalid(#[from] contract::Error),
    /// No entries, too many, or one key twice: not written.
    #[error("a change puts between 1 and {limit} different objects")]
    Size {
        /// Most objects in one change.
        limit: usize,
    },
    /// Another change touched the same object first: not written.
    #[error("revision {} (change {}) changed `{}` first", .0.revision, .0.change, .0.key)]
    Conflict(Box<Conflict>),
    /// The change id was used for other entries: not written.
    #[error("change id {change} was used for other entries in revision {revision}")]
    ChangeIdReused {
        /// The change id.
        change: ChangeId,
        /// Revision that used it.
        revision: Revision,
    },
    /// The base revision lies ahead of the log: not written.
    #[error("base revision {base} isn't in the log, which ends at {head}")]
    UnknownBase {
        /// Revision the change was written against.
        base: Revision,
        /// Newest revision.
        head: Revision,
    },
    /// A change of members is not accepted yet, so no other change may follow: not written.
    #[error("revision {revision} has to be accepted first")]
    Pending {
        /// Revision that is waited for.
        revision: Revision,
    },
    /// Other changes kept coming first: not written.
    #[error("the log moved on too often; try again")]
    Contended,
    /// The platform refused or can't be reached: not written.
    #[error("not written: {0}")]
    Platform(#[source] clients::Error),
    /// The platform's answer was lost and can't be settled now; asking again with the change id settles it.
    #[error("change {change} may be in the log: {source}")]
    UnknownOutcome {
        /// The change id.
        change: ChangeId,
        /// What was seen last.
        source: clients::Error,
    },
    /// In the log, and not acknowledged by a majority of members in time; asking again with the change id tells more.
    #[error("revision {revision} is written and not yet accepted")]
    Unacknowledged {
        /// Revision of the change.
        revision: Revision,
    },
    /// A row of the log is missing or can't be read.
    #[error("row {partition}/{sort} is missing or unreadable")]
    UnreadableRow {
        /// Partition key.
        partition: &'static str,
        /// Sort key.
        sort: String,
    },
}
