//! Conflicts between two changes of the same object.

use contract::{ChangeId, ObjectKey, Revision};
use serde::Serialize;
use wire::Entry;

/// An object that two changes modify, with the entry of each.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the change that was written first.
    pub revision: Revision,
    /// Id of the change that was written first.
    pub change: ChangeId,
    /// Entry of the rejected change.
    pub ours: Entry,
    /// Entry of the change that was written first.
    pub theirs: Entry,
}
