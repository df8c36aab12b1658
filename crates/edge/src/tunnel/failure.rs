//! Why a served tunnel failed.

use super::Refusal;
use std::io;
use tokio_tungstenite::tungstenite;

/// Why a tunnel that this node serves failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The opener named no backend server in time.
    #[error("no hello in time")]
    NoHello,
    /// The tunnel was refused.
    #[error("refused: {0}")]
    Refused(#[from] Refusal),
    /// The connection to the opener failed.
    #[error("connection to the opener: {0}")]
    Link(#[source] Box<tungstenite::Error>),
    /// The opener has closed the tunnel, or its connection has ended.
    #[error("closed by the opener")]
    Closed,
    /// The opener has sent more than it was allowed to, or something that is no frame.
    #[error("protocol violation")]
    Violation,
    /// The connection to the backend server failed, or ended before it had taken all bytes.
    #[error("connection to the backend server: {0}")]
    Server(#[from] io::Error),
}

impl From<tungstenite::Error> for Failure {
    fn from(error: tungstenite::Error) -> Self {
        Self::Link(Box::new(error))
    }
}
