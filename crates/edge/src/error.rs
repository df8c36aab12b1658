//! Errors that keep a node from running.

use std::io;
use std::net::SocketAddrV4;

/// Why a node can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid or can't be read.
    #[error(transparent)]
    Settings(#[from] platform::Error),
    /// Binding an address has failed.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The async runtime or the signal handlers can't be set up.
    #[error("runtime: {0}")]
    Runtime(#[from] io::Error),
    /// The logger can't be set up.
    #[error(transparent)]
    Log(#[from] settings::Error),
}
