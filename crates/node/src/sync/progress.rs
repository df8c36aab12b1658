//! How far a revision has been applied across the members.

use contract::NodeId;
use serde::Serialize;

/// How far a revision has been applied across the members.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Whether a majority of the members has applied it, so that no node can revert it.
    pub accepted: bool,
    /// Members that have not applied the revision yet. Empty once it is in force on all members.
    pub outstanding: Vec<NodeId>,
}
