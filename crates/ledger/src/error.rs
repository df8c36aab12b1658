//! Errors of run records.

/// Reason why a call that must not be repeated was rejected. Nothing has been sent in any case.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The idempotency key is invalid.
    #[error(
        "idempotency key of {found} bytes: 1 to {limit} printable ASCII characters are expected"
    )]
    Key {
        /// Length of the key in bytes.
        found: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The key was used before for a different request.
    #[error("the idempotency key belongs to a different request")]
    Conflict,
    /// The platform could not record the claim.
    #[error("the call can't be recorded: {0}")]
    Platform(#[from] clients::Error),
    /// A row could not be parsed.
    #[error("run record can't be read: {0}")]
    Row(#[from] serde_json::Error),
}
