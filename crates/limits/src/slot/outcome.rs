//! How a request at a backend server ended.

use std::time::Duration;

/// How a request at a backend server ended, as far as its health is concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer arrived.
    Completed {
        /// Time from sending to the first byte of the answer.
        first_byte: Duration,
    },
    /// The server refused the request as too much.
    Refused,
    /// The server closed or reset the connection, or takes no new one.
    Disconnected,
    /// The connection went silent.
    Stalled,
    /// The caller went away or the work wasn't sent.
    Cancelled,
    /// The server answered with another error.
    Failed,
}
