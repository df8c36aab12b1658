//! Errors of calls to the platform, and whether a failed call may have been executed.

/// Why a call failed. Each variant states whether a write was executed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A condition of a write didn't hold. Not executed.
    #[error("a condition did not hold on writes {failed:?}")]
    Conflict {
        /// Positions of the writes whose condition failed.
        failed: Vec<usize>,
    },
    /// The platform throttled the call. Not executed.
    #[error("the platform refused the call for its rate")]
    Throttled,
    /// No connection could be made, so nothing was sent. Not executed.
    #[error("the platform can't be reached: {source}")]
    Unreachable {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The platform rejected the call as invalid. Not executed.
    #[error("the platform refused the call with {status}: {kind}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// Error type reported by the platform.
        kind: String,
    },
    /// No usable response was received. A write may have been executed.
    #[error("no usable answer from the platform: {0}")]
    Unknown(Cause),
}

/// Why the outcome of a call is unknown.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The connection failed or timed out after the request may have been sent.
    #[error("connection lost: {0}")]
    Connection(#[from] reqwest::Error),
    /// The platform returned a status that doesn't tell whether the call was executed.
    #[error("status {0}")]
    Status(u16),
    /// The body of the response can't be parsed.
    #[error("unreadable answer: {0}")]
    Body(#[from] serde_json::Error),
    /// The in-memory table dropped the request or response, as a test asked for.
    #[error("answer dropped")]
    Dropped,
}

impl Error {
    /// Whether the call may have been executed despite the error.
    ///
    /// ```
    /// assert!(!clients::Error::Throttled.may_have_executed());
    /// ```
    pub fn may_have_executed(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Whether the platform is unreachable or failing, as opposed to rejecting this call.
    ///
    /// ```
    /// assert!(!clients::Error::Conflict { failed: vec![0] }.is_outage());
    /// ```
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Unreachable { .. })
    }

    /// Classifies an error of the HTTP client: nothing was sent, or the outcome is unknown.
    pub(crate) fn transport(source: reqwest::Error) -> Self {
        if source.is_connect() || source.is_builder() {
            return Self::Unreachable { source };
        }
        Self::Unknown(Cause::Connection(source))
    }
}
