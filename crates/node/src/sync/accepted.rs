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
