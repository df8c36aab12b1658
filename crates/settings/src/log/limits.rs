//! Limits of the logger.

/// Rate limits and queue size of the logger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Lines per second of level info and below. Each successful request logs a few of them.
    pub info_per_s: u64,
    /// Lines per second of level warn and above. They have a limit of their own so that lines about
    /// successful requests can't displace those about failures.
    pub warn_per_s: u64,
    /// Number of lines that can wait to be written.
    pub queue_capacity: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            info_per_s: 600,
            warn_per_s: 400,
            queue_capacity: 4096,
        }
    }
}
