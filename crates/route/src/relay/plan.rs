//! The links that a node is to have.

use crate::NodeName;
use contract::Set;
use std::net::SocketAddrV4;

/// The links that a node is to have, as it sees the fleet at a moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// Links that are to be opened now.
    pub(super) open: Vec<SocketAddrV4>,
    /// Nodes to which links are to stay.
    pub(super) kept: Set<NodeName>,
}
