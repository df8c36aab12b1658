//! Settings of the rating client.

use std::time::Duration;

/// Address and timeouts of the rating service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base address, `http://ip:port`.
    pub url: String,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for a whole call.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:8000".into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}
