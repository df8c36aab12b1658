//! Errors of links.

use contract::NodeId;

/// Why a frame could not be sent or a link could not be established.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no link to the node and its address is unknown.
    #[error("no link to {0}")]
    Unlinked(NodeId),
    /// The send queue is full because the peer reads too slowly. The frame is dropped.
    #[error("the send queue to {0} is full")]
    Full(NodeId),
    /// The frame could not be encoded or decoded.
    #[error("invalid frame: {0}")]
    Frame(#[from] wire::Error),
    /// The WebSocket failed.
    #[error("WebSocket: {0}")]
    Socket(#[source] Box<tokio_tungstenite::tungstenite::Error>),
    /// The peer closed the link, or an operation on it timed out.
    #[error("the peer closed the link or did not respond in time")]
    Closed,
    /// The peer did not prove that it knows a link key, speaks another protocol version, or is this
    /// node itself.
    #[error("the peer's handshake is invalid")]
    Greeting,
    /// The TCP socket failed, for example because the link port could not be opened.
    #[error("link port: {0}")]
    Port(#[from] std::io::Error),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}
