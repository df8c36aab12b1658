//! Errors of reading objects and applying changes.

use crate::{ObjectKey, Revision};

/// Why a change of the configuration can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body of an object isn't valid JSON of the expected type.
    #[error("object {key} can't be read: {source}")]
    InvalidBody {
        /// Key of the object.
        key: ObjectKey,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The key of an object doesn't match its content.
    #[error("object {found} stands under the key {key}")]
    KeyMismatch {
        /// Key under which the object was given.
        key: ObjectKey,
        /// Key derived from the content.
        found: ObjectKey,
    },
    /// The revision of a change isn't the one after the current revision.
    #[error("revision {found} can't follow revision {current}")]
    UnexpectedRevision {
        /// Revision applied last.
        current: Revision,
        /// Revision of the change.
        found: Revision,
    },
}
