//! The node at the other end of a link.

use contract::{Incarnation, NodeId};

/// A node at the other end of a link, as proved in the handshake.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Address at which it accepts links.
    pub link: String,
}
