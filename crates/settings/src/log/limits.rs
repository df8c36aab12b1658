//! How much is logged at most.

/// How much is logged at most.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Lines a second of level info and below: each request that goes well has a few.
    pub info_per_s: u64,
    /// Lines a second of level warn and above: what failed is kept before what went well.
    pub warn_per_s: u64,
    /// Lines that wait to be written.
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
