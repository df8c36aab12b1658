//! Why a tunnel wasn't opened.

use super::Refusal;
use std::io;
use tokio_tungstenite::tungstenite;

/// Why a tunnel wasn't opened. In each case nothing was sent to the backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other node can't be reached; nothing was sent to the backend server.
    #[error("the other node can't be reached: {0}")]
    Connection(#[from] io::Error),
    /// The WebSocket protocol failed while the tunnel was opened; nothing was sent to the backend server.
    #[error("protocol error while opening a tunnel: {0}")]
    Protocol(#[source] Box<tungstenite::Error>),
    /// The tunnel didn't open in time; nothing was sent to the backend server.
    #[error("the tunnel didn't open in time")]
    Timeout,
    /// The other node has closed the connection instead of a reply; nothing was sent to the backend server.
    #[error("the other node closed the connection without a reply")]
    Closed,
    /// The reply can't be decoded, so the other node may not know of tunnels; nothing was sent to the
    /// backend server.
    #[error("the reply can't be decoded")]
    InvalidReply,
    /// The other node refuses; nothing was sent to the backend server.
    #[error("refused by the other node: {0}")]
    Refused(#[from] Refusal),
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Self {
        match error {
            tungstenite::Error::Io(error) => Self::Connection(error),
            error => Self::Protocol(Box::new(error)),
        }
    }
}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        let kind = match &error {
            Error::Connection(source) => source.kind(),
            Error::Timeout => io::ErrorKind::TimedOut,
            Error::Refused(Refusal::ConnectionRefused) => io::ErrorKind::ConnectionRefused,
            Error::Refused(Refusal::Unreachable) => io::ErrorKind::HostUnreachable,
            Error::Refused(_) | Error::Protocol(_) | Error::Closed | Error::InvalidReply => {
                io::ErrorKind::Other
            }
        };
        Self::new(kind, error)
    }
}
