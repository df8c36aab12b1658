//! How far a revision has been applied across the members.

use contract::NodeId;
use serde::Serialize;

/// How far a revision has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Whether a majority of the members has it, so that it never reverts anywhere.
    pub accepted: bool,
    /// Members that haven't applied the revision yet; none means in force everywhere.
    pub outstanding: Vec<NodeId>,
}
