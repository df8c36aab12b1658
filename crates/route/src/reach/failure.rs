//! How a connect failed.

/// How a connect to a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Nothing came back in time.
    Silent,
    /// The connect was refused or reset.
    Refused,
}
