//! What callers may send.

use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for the whole head of a request.
    pub header_time: Duration,
    /// Time for which a kept connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
