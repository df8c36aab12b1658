//! Result of an accepted change.

use contract::{NodeId, Revision};
use serde::Serialize;

/// A change that a majority of the members has applied, so that it cannot be lost.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Revision of the change.
    pub revision: Revision,
    /// Whether the change id was already in the log before this call.
    pub replayed: bool,
    /// Members that have not applied the revision yet.
    pub outstanding: Vec<NodeId>,
}
