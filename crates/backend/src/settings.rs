//! Timeouts and size limits.

use std::time::Duration;

/// Timeouts and size limits of calls to backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for opening a TCP connection.
    pub connect_timeout: Duration,
    /// Timeout for the head of a streamed response.
    pub first_byte_timeout: Duration,
    /// Timeout for the next chunk of a streamed response.
    pub progress_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections kept for each backend server.
    pub max_idle: usize,
    /// Largest response of a plain service, in bytes.
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
