//! Settings of the VM list's client.

use std::time::Duration;

/// Where the list is and how long a call may take.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the list, `http://ip:port/v1/vms`.
    pub url: String,
    /// Limit for making a connection.
    pub connect_timeout: Duration,
    /// Limit for a whole call.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:8000/v1/vms".into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}
