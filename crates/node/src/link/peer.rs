//! The node at the other end of a link.

use contract::{Incarnation, NodeId};

/// Who is at the other end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Address on which it accepts links.
    pub link: String,
}
