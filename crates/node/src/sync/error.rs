//! Errors of configuration changes, which tell whether the change may be in the log.

use super::Conflict;
use contract::{ChangeId, Revision};

/// Why a change was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An entry is not a valid object. Not written.
    #[error("the change isn't valid: {0}")]
    Invalid(#[from] contract::Error),
    /// The change has no entries, too many, or a duplicate key. Not written.
    #[error("a change puts between 1 and {limit} different objects")]
    Size {
        /// Maximum number of objects in one change.
        limit: usize,
    },
    /// A revision after the base changed the same object. Not written.
    #[error("revision {} (change {}) changed `{}` first", .0.revision, .0.change, .0.key)]
    Conflict(Box<Conflict>),
    /// The change id is already in the log with other entries. Not written.
    #[error("change id {change} was used for other entries in revision {revision}")]
    ChangeIdReused {
        /// The change id.
        change: ChangeId,
        /// Revision that carries the change id.
        revision: Revision,
    },
    /// The base revision is newer than the log. Not written.
    #[error("base revision {base} isn't in the log, which ends at {head}")]
    UnknownBase {
        /// Revision the change was written against.
        base: Revision,
        /// Newest revision in the log.
        head: Revision,
    },
    /// An earlier revision must be accepted first, because it or this change alters the members.
    /// Not written.
    #[error("revision {revision} has to be accepted first")]
    Pending {
        /// Revision that must be accepted first.
        revision: Revision,
    },
    /// Concurrent changes won on every attempt. Not written.
    #[error("the log moved on too often; try again")]
    Contended,
    /// The platform refused the request or is unreachable. Not written.
    #[error("not written: {0}")]
    Platform(#[source] clients::Error),
    /// The platform's response to the write was lost, and whether it ran could not be determined.
    /// Retrying with the same change id resolves it.
    #[error("change {change} may be in the log: {source}")]
    UnknownOutcome {
        /// The change id.
        change: ChangeId,
        /// Last error of the platform.
        source: clients::Error,
    },
    /// Written, but not acknowledged by a majority of members within the timeout. Proposing
    /// or querying the change id again shows its progress.
    #[error("revision {revision} is written and not yet accepted")]
    Unacknowledged {
        /// Revision of the change.
        revision: Revision,
    },
    /// A row of the log is missing or malformed.
    #[error("row {partition}/{sort} is missing or unreadable")]
    UnreadableRow {
        /// Partition key.
        partition: &'static str,
        /// Sort key.
        sort: String,
    },
}
