//! One node of the fleet.

use crate::{NodeName, Zone};
use std::net::SocketAddrV4;

/// One node of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers send requests.
    pub http_address: SocketAddrV4,
    /// Where other nodes link to it.
    pub link_address: SocketAddrV4,
    /// What its VM can carry, in thousandths of a core.
    pub capacity: u32,
}
