//! How a connection failed.

/// How a direct connection to a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Nothing came back in time.
    Silent,
    /// The connect was refused.
    Refused,
    /// The connection was established and broke off.
    Broken,
}
