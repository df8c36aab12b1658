//! One entry of the platform's list.

use super::State;
use crate::{ServerId, ServiceName, Version, Zone};
use std::net::SocketAddrV4;
use std::time::Duration;

/// One backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Id of this start.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: Zone,
    /// Version of its software.
    pub version: Version,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it was cold when it wrote the entry.
    pub cold_remaining: Duration,
    /// Unix time of its start in milliseconds; an id that starts again has a later one.
    pub started_ms: u64,
}
