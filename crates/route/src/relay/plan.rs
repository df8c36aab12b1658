//! Links that a node should have.

use crate::NodeName;
use contract::Set;
use std::net::SocketAddrV4;

/// The links that a node should have, given its current view of the fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// Addresses to which links should be opened now.
    pub(super) open: Vec<SocketAddrV4>,
    /// Nodes whose links should be kept.
    pub(super) kept: Set<NodeName>,
}
