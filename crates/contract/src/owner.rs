//! One start of a node, as the owner of a grant, a claim or a batch.

use crate::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// One start of a node. A restarted node is another owner.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Owner {
    /// Name of the node.
    pub node: NodeId,
    /// Which start of the node.
    pub incarnation: Incarnation,
}

impl Owner {
    /// Names one start of a node.
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
