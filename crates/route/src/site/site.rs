//! Environment of a node.

use super::Bounds;
use crate::{NodeName, Zone};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Environment of a node: its addresses, the resources of its VM and the bounds of the site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name of the node.
    pub node: NodeName,
    /// IP address of its VM.
    pub ip: Ipv4Addr,
    /// Availability zone of the node.
    pub zone: Zone,
    /// Address on which the node accepts requests of callers.
    pub http_address: SocketAddrV4,
    /// Address on which the platform checks whether the node is ready.
    pub ready_address: SocketAddrV4,
    /// Address on which callers look up the addresses to use.
    pub directory_address: SocketAddrV4,
    /// Address on which the node accepts links of other nodes.
    pub link_address: SocketAddrV4,
    /// Link addresses of a few nodes for bootstrapping; they may be outdated.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, with an empty store.
    pub first_start: bool,
    /// CPU capacity of the VM, in cores.
    pub cpu_share: f64,
    /// Memory of the VM in bytes.
    pub memory_bytes: u64,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Interval at which a backend server reports to the store.
    pub heartbeat: Duration,
    /// Bounds of the site.
    pub bounds: Bounds,
}

impl Site {
    /// Returns the CPU capacity of the VM in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * 1e3).round() as u32
    }
}
