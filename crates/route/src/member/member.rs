//! One node of the fleet.

use crate::{NodeName, Zone};
use std::net::SocketAddrV4;

/// One node of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// Availability zone of the node.
    pub zone: Zone,
    /// Address on which it accepts requests of callers.
    pub http_address: SocketAddrV4,
    /// Address on which it accepts links of other nodes.
    pub link_address: SocketAddrV4,
    /// CPU capacity of its VM, in thousandths of a core.
    pub capacity: u32,
}
