//! Why no backend server is chosen.

/// Why no backend server is chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The service has no backend server that takes new work.
    #[error("no backend server of the service takes new work")]
    NoServer,
    /// All that take new work have as much as they bear.
    #[error("all backend servers of the service are full")]
    Full,
}
