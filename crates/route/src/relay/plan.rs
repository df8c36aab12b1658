//! The links that a node is to have.

use crate::NodeName;
use contract::Set;
use std::net::SocketAddrV4;

/// The links that a node is to have, as it sees the fleet at a moment.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Whether the node is a relay.
    pub relay: bool,
    /// Links that are to be opened now.
    pub open: Vec<SocketAddrV4>,
    /// Nodes to which links are to stay.
    pub keep: Set<NodeName>,
}
