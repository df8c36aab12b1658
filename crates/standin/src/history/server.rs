//! A backend server and what it counted.

use crate::engine::Counters;
use serde::Serialize;

/// A backend server as the test knows it.
#[derive(Clone, Debug, Serialize)]
pub struct Server {
    /// Address under which it is listed.
    pub backend: String,
    /// Availability zone.
    pub zone: String,
    /// What it counted; none for a plain service.
    pub counters: Option<Counters>,
}
