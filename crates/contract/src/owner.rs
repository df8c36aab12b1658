//! Ownership of a grant, a claim or a batch by one incarnation of a node.

use crate::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// One incarnation of a node. A node that restarts becomes a different owner.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Owner {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node, which grows with each start.
    pub incarnation: Incarnation,
}

impl Owner {
    /// Creates the owner for one incarnation of a node.
    ///
    /// ```
    /// let owner = contract::Owner::new("n1", 3);
    /// assert_ne!(owner, contract::Owner::new("n1", 4));
    /// ```
    pub fn new(node: &str, incarnation: Incarnation) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
        }
    }
}
