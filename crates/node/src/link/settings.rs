//! Settings of links.

use std::time::Duration;

/// Keys and limits of links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shared keys: the first proves this node, any of them is accepted, so that keys can be rotated.
    pub keys: Vec<String>,
    /// Limit for making a connection and greeting.
    pub connect_timeout: Duration,
    /// Frames waiting for one link.
    pub queue: usize,
    /// Frames waiting for one subscriber.
    pub backlog: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keys: Vec::new(),
            connect_timeout: Duration::from_secs(1),
            queue: 1024,
            backlog: 4096,
        }
    }
}
