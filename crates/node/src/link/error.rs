//! Why a frame can't be sent or a link can't be made.

use contract::NodeId;

/// Why a frame can't be sent or a link can't be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No link and no address to make one to.
    #[error("no link to {0}")]
    Unlinked(NodeId),
    /// The other end doesn't read fast enough: the frame is dropped.
    #[error("the queue to {0} is full")]
    Full(NodeId),
    /// The frame can't be written or read.
    #[error("frame: {0}")]
    Frame(#[from] wire::Error),
    /// The websocket failed.
    #[error("websocket: {0}")]
    Socket(#[source] Box<tokio_tungstenite::tungstenite::Error>),
    /// The other end is silent or closed the link.
    #[error("the other end closed the link or is silent")]
    Closed,
    /// The other end didn't prove that it knows a link key, or isn't who was called.
    #[error("the other end's greeting isn't valid")]
    Greeting,
    /// The port can't be opened.
    #[error("link port: {0}")]
    Port(#[from] std::io::Error),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}
