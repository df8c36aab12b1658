//! What can go wrong at a backend server, and whether the work ran.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a backend server ran the work, in the order of what it takes to say so.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte reached a backend server, or the server proved that it refused.
    No,
    /// Bytes left, and nothing tells what became of them.
    Unknown,
    /// A backend server answered.
    Yes,
}

/// Why a call of a backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection came about.
    #[error("no connection: {0}")]
    Connect(#[source] reqwest::Error),
    /// The backend server refused for lack of capacity.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The backend server found the request wrong.
    #[error("rejected with status {status}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The backend server's answer.
        body: bytes::Bytes,
    },
    /// The backend server failed on the request.
    #[error("failed with status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke after the request was sent.
    #[error("connection broke: {0}")]
    ConnectionLost(#[source] reqwest::Error),
    /// The stream ended before the answer was whole.
    #[error("stream ended early")]
    Truncated,
    /// Nothing came for too long.
    #[error("silent for {0:?}")]
    TimedOut(Duration),
    /// The answer isn't in the expected form.
    #[error("answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The answer is over the limit.
    #[error("answer is over {limit} bytes")]
    Oversized {
        /// Longest answer in bytes.
        limit: usize,
    },
}

impl Error {
    /// Whether the backend server may have run the work.
    ///
    /// ```
    /// let refused = backend::Error::Refused { status: 503 };
    /// assert_eq!(refused.ran(), backend::Ran::No);
    /// assert_eq!(backend::Error::Truncated.ran(), backend::Ran::Unknown);
    /// ```
    pub fn ran(&self) -> Ran {
        match self {
            Self::Connect(_) | Self::Refused { .. } | Self::Rejected { .. } => Ran::No,
            Self::Malformed(_) | Self::Oversized { .. } => Ran::Yes,
            Self::Failed { .. } | Self::ConnectionLost(_) | Self::Truncated | Self::TimedOut(_) => {
                Ran::Unknown
            }
        }
    }

    /// Whether the backend server may have died of the request.
    ///
    /// ```
    /// assert!(backend::Error::Truncated.suggests_crash());
    /// assert!(!backend::Error::Refused { status: 503 }.suggests_crash());
    /// ```
    pub fn suggests_crash(&self) -> bool {
        matches!(self, Self::ConnectionLost(_) | Self::Truncated)
    }

    pub(crate) fn from_send(source: reqwest::Error) -> Self {
        if source.is_connect() {
            return Self::Connect(source);
        }
        Self::ConnectionLost(source)
    }
}
