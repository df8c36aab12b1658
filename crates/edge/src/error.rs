//! Why a node can't run.

use std::io;
use std::net::SocketAddrV4;

/// Why a node can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] platform::Error),
    /// An address can't be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The runtime or the signals of the process can't be set up.
    #[error("runtime: {0}")]
    Runtime(#[from] io::Error),
    /// The logger can't be started.
    #[error(transparent)]
    Log(#[from] settings::Error),
}
