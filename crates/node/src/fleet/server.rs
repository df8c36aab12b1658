//! One backend server.

use contract::{BackendId, ModelId, ServiceId, VersionId, ZoneId};

/// What a backend server runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine with one version loaded.
    Engine {
        /// Model.
        model: ModelId,
        /// Version.
        version: VersionId,
    },
    /// A plain service.
    Service(ServiceId),
}

/// A backend server and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Address.
    pub id: BackendId,
    /// Availability zone.
    pub zone: ZoneId,
    /// What it runs.
    pub kind: Kind,
    /// Whether its VM is about to go.
    pub leaving: bool,
}
