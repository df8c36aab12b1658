//! Why the ledger refuses. In every case the call hasn't run.

/// Why a call that may not be repeated wasn't allowed to run. Nothing has been sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The idempotency key can't be used.
    #[error(
        "idempotency key of {found} bytes: 1 to {limit} printable ASCII characters are expected"
    )]
    Key {
        /// Length that was found, in bytes.
        found: usize,
        /// Longest key, in bytes.
        limit: usize,
    },
    /// The key was used before for a different request.
    #[error("the idempotency key belongs to a different request")]
    Conflict,
    /// The platform can't record the claim, so the call was not sent.
    #[error("the call can't be recorded: {0}")]
    Platform(#[from] clients::Error),
    /// A row can't be read.
    #[error("run record can't be read: {0}")]
    Row(#[from] serde_json::Error),
}
