//! Why a node refuses to serve a tunnel.

use serde::{Deserialize, Serialize};

/// Why a node refuses to serve a tunnel. Nothing was sent to the backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Refusal {
    /// The node knows no backend server of that id.
    #[error("unknown backend server")]
    UnknownServer,
    /// The node can't reach the backend server either.
    #[error("backend server unreachable")]
    Unreachable,
    /// The backend server refuses connections.
    #[error("connection refused by the backend server")]
    ConnectionRefused,
    /// The backend server is leaving, or has asked the node for a pause.
    #[error("the backend server wants no requests of the node")]
    Unwanted,
    /// The node's own path to backend servers is in doubt or lost.
    #[error("no path to backend servers")]
    NoPath,
    /// The node serves as many tunnels as it can.
    #[error("too many tunnels")]
    TooMany,
    /// The node is stopping and only finishes what it has begun.
    #[error("stopping")]
    Stopping,
}

impl Refusal {
    /// Name of the refusal in metrics.
    ///
    /// ```
    /// assert_eq!(edge::tunnel::Refusal::TooMany.name(), "too_many");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownServer => "unknown_server",
            Self::Unreachable => "unreachable",
            Self::ConnectionRefused => "connection_refused",
            Self::Unwanted => "unwanted",
            Self::NoPath => "no_path",
            Self::TooMany => "too_many",
            Self::Stopping => "stopping",
        }
    }
}
