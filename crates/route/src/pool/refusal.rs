//! Reasons for not choosing a backend server.

use std::time::Duration;

/// Why no backend server was chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No backend server of the service accepts new work.
    #[error("no backend server of the service accepts new work")]
    NoServer,
    /// All backend servers that accept new work have asked for a pause or named a limit; the first
    /// one takes a request after this time.
    #[error("all backend servers of the service pause or limit requests, the first one for {0:?}")]
    Paused(Duration),
    /// All backend servers that accept new work are at capacity.
    #[error("all backend servers of the service are at capacity")]
    Full,
}
