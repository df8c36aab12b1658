//! What callers may send.

use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time for the whole head of a request.
    pub header_timeout: Duration,
    /// Time for which a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
