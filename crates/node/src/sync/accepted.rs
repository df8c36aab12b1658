//! Where a change stands.

use contract::{NodeId, Revision};
use serde::Serialize;

/// A change that is in the log for good.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Its revision.
    pub revision: Revision,
    /// Whether the same change id had been written before this call.
    pub replayed: bool,
    /// Members that haven't applied the revision yet.
    pub outstanding: Vec<NodeId>,
}

/// How far a revision has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Whether a majority of the members has it, so that it never reverts anywhere.
    pub accepted: bool,
    /// Members that haven't applied the revision yet; none means in force everywhere.
    pub outstanding: Vec<NodeId>,
}
