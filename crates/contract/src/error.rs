//! What can be wrong with the configuration.

use crate::{ObjectKey, Revision};

/// Why a change of the configuration can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body of an object isn't what the schema asks for.
    #[error("object {key} can't be read: {source}")]
    Body {
        /// Key of the object.
        key: ObjectKey,
        /// What the reader said.
        source: serde_json::Error,
    },
    /// The object's key doesn't match its content.
    #[error("object {found} stands under the key {key}")]
    Key {
        /// Key that was given.
        key: ObjectKey,
        /// Key that follows from the content.
        found: ObjectKey,
    },
    /// The change isn't the next one.
    #[error("revision {found} can't follow revision {current}")]
    Revision {
        /// Revision that is applied now.
        current: Revision,
        /// Revision of the change.
        found: Revision,
    },
}
