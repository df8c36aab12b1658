//! Two changes that race for one object.

use contract::{ChangeId, ObjectKey, Revision};
use serde::Serialize;
use wire::Entry;

/// The object that both changes touch, as each would leave it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the change that came first.
    pub revision: Revision,
    /// Name of the change that came first.
    pub change: ChangeId,
    /// The refused entry.
    pub ours: Entry,
    /// The entry that came first.
    pub theirs: Entry,
}
