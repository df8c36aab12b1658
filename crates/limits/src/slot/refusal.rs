//! Reasons for which no slot is available.

use contract::BackendId;

/// Why a node may not send a request to a backend server now. Nothing has been sent.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// There is no grant, or it has expired.
    #[error("no grant for backend server {0}")]
    Expired(BackendId),
    /// All granted slots are in use.
    #[error("all slots at backend server {0} are in use")]
    Full(BackendId),
}
