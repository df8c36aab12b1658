//! Where a node runs.

use super::Bounds;
use crate::{NodeName, Zone};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Where a node runs, what its VM can carry and which bounds hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name of the node.
    pub node: NodeName,
    /// Address of its VM.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers send requests.
    pub http_address: SocketAddrV4,
    /// Where the platform asks whether the node is ready.
    pub ready_address: SocketAddrV4,
    /// Where callers ask which address to use.
    pub directory_address: SocketAddrV4,
    /// Where other nodes link to this one.
    pub link_address: SocketAddrV4,
    /// Links of a few nodes to begin with; they may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time: nothing stands in the store before.
    pub first_start: bool,
    /// Share of a core that the VM gives.
    pub cpu_share: f64,
    /// Memory of the VM in bytes.
    pub memory_bytes: u64,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between two reports of a backend server to the store.
    pub heartbeat: Duration,
    /// Bounds of the site.
    pub bounds: Bounds,
}

impl Site {
    /// What the VM can carry, in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * 1e3).round() as u32
    }
}
