//! Whether a request may be sent.

use std::time::Duration;

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// None of its parts is blocked.
    Open,
    /// It may be sent once, to find out whether a part still crashes backend servers, or which one of
    /// several does.
    Probe,
    /// One of its parts is blocked for this long.
    Blocked(Duration),
}
