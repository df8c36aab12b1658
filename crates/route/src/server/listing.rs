//! One entry of the platform's list of backend servers.

use super::State;
use crate::{ServerId, ServiceName, Version, Zone};
use std::net::SocketAddrV4;
use std::time::Duration;

/// One backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Id of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddrV4,
    /// Availability zone of the server.
    pub zone: Zone,
    /// Version of its software.
    pub version: Version,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Time that was left of its cold start when it wrote the entry.
    pub cold_remaining: Duration,
    /// Unix time of its start in milliseconds. It is later when a server with the same id restarts.
    pub started_ms: u64,
}
