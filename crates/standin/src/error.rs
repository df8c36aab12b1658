//! What can go wrong while a stand-in starts or is asked.

use std::net::SocketAddr;

/// Failure of a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("socket on {address}: {source}")]
    Socket {
        /// Address that was bound or reached.
        address: SocketAddr,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// The HTTP server didn't start.
    #[error("HTTP server on {address}: {reason}")]
    Launch {
        /// Address that was asked for.
        address: SocketAddr,
        /// Cause given by the library.
        reason: String,
    },
    /// A call to a stand-in or a node failed.
    #[error("HTTP call: {0}")]
    Call(#[from] reqwest::Error),
    /// A message wasn't the JSON that was expected.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A file or a process couldn't be used.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// Something didn't happen within its time.
    #[error("not within its time: {0}")]
    Timeout(&'static str),
    /// A process ended although it should run.
    #[error("process {name} ended: {status}")]
    Ended {
        /// Name given to the process.
        name: String,
        /// Exit status as the system prints it.
        status: String,
    },
    /// A setting has no valid value.
    #[error("setting {name}: {found:?} isn't {expected}")]
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// Value found.
        found: String,
        /// What would have been valid.
        expected: &'static str,
    },
}
