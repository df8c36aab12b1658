//! Time limits and sizes.

use std::time::Duration;

/// Limits of connections to backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait for a TCP connection.
    pub connect_timeout: Duration,
    /// Longest wait for the first byte of an answer.
    pub first_byte_timeout: Duration,
    /// Longest silence between two chunks of a streamed answer.
    pub progress_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Unused connections kept for each backend server.
    pub max_idle: usize,
    /// Longest answer of a plain service in bytes.
    pub max_reply_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            first_byte_timeout: Duration::from_millis(5_000),
            progress_timeout: Duration::from_millis(3_000),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
            max_reply_bytes: 4 * 1024 * 1024,
        }
    }
}
