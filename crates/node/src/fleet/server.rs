//! Backend servers.

use contract::{BackendId, ModelId, ServiceId, VersionId, ZoneId};

/// What a backend server runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine with one version loaded.
    Engine {
        /// Id of the model.
        model: ModelId,
        /// Id of the version.
        version: VersionId,
    },
    /// A plain service.
    Service(ServiceId),
}

/// A backend server on the VM list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Address, which identifies the server.
    pub id: BackendId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// What the server runs.
    pub kind: Kind,
    /// Whether the platform is about to remove its VM.
    pub leaving: bool,
}
