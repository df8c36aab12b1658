//! How a request at a backend server ended.

use std::time::Duration;

/// How a request at a backend server ended, as far as it tells about the server's health.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer arrived.
    Completed {
        /// Time from sending to the first byte of the answer.
        first_byte: Duration,
    },
    /// The server refused the request because it is overloaded.
    Refused,
    /// The server closed or reset the connection, or accepts no new one.
    Disconnected,
    /// Nothing arrived on the connection for too long.
    Stalled,
    /// The caller went away, or the request wasn't sent.
    Cancelled,
    /// The server answered with another error.
    Failed,
}
