//! Limits on requests and connections.

use std::time::Duration;

/// Limits on the size of requests and on the time that callers may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the complete head of a request must arrive.
    pub header_timeout: Duration,
    /// Time for which a keep-alive connection may be idle.
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
