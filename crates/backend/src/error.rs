//! Errors of calls to backend servers, and whether the request ran.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a backend server ran the request, ordered by how far the request is known to have got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was sent, or the server reported that it refused the request.
    No,
    /// The request was sent and its fate is unknown.
    Unknown,
    /// A backend server responded.
    Yes,
}

/// Why a call to a backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection couldn't be opened.
    #[error("no connection: {0}")]
    Connect(#[source] reqwest::Error),
    /// The backend server refused to run the request, mostly for lack of capacity.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The backend server rejected the request as invalid.
    #[error("rejected with status {status}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The backend server's response.
        body: bytes::Bytes,
    },
    /// The backend server responded with an error.
    #[error("failed with status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection was lost after the request was sent.
    #[error("connection broke: {0}")]
    ConnectionLost(#[source] reqwest::Error),
    /// The stream ended before the response was complete.
    #[error("stream ended early")]
    Truncated,
    /// The response to a long request has neither a length nor chunks, so it can't be told apart from one
    /// that was aborted.
    #[error("the response to a long request has no length")]
    Unframed,
    /// Nothing was received within the time limit.
    #[error("silent for {0:?}")]
    TimedOut(Duration),
    /// The response can't be parsed.
    #[error("answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The response exceeds the size limit.
    #[error("answer is over {limit} bytes")]
    Oversized {
        /// Size limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Whether the backend server ran the request.
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
            Self::Failed { .. }
            | Self::ConnectionLost(_)
            | Self::Truncated
            | Self::TimedOut(_)
            | Self::Unframed => Ran::Unknown,
        }
    }

    /// Whether the backend server may have crashed on the request.
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
