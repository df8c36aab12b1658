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

impl Server {
    /// Whether the backend server runs this version.
    ///
    /// ```
    /// use node::fleet::{Kind, Server};
    /// let server = Server {
    ///     id: "127.0.0.1:1".into(),
    ///     zone: "a".into(),
    ///     kind: Kind::Service("reservations".into()),
    ///     leaving: false,
    /// };
    /// assert!(!server.runs("small", "1"));
    /// assert!(server.serves("reservations"));
    /// ```
    pub fn runs(&self, model: &str, version: &str) -> bool {
        matches!(&self.kind, Kind::Engine { model: m, version: v } if m == model && v == version)
    }

    /// Whether the backend server is one of this plain service.
    ///
    /// ```
    /// # let server = node::fleet::Server {
    /// #     id: "127.0.0.1:1".into(),
    /// #     zone: "a".into(),
    /// #     kind: node::fleet::Kind::Service("reservations".into()),
    /// #     leaving: false,
    /// # };
    /// assert!(!server.serves("bookings"));
    /// ```
    pub fn serves(&self, service: &str) -> bool {
        matches!(&self.kind, Kind::Service(name) if name == service)
    }
}
