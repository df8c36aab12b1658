//! How much is logged at most.

/// How much is logged at most.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Lines a second of level info and below: each request that goes well has a few.
    pub usual_per_s: u64,
    /// Lines a second of level warn and above: what failed is kept before what went well.
    pub failed_per_s: u64,
    /// Lines that wait to be written.
    pub waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            usual_per_s: 600,
            failed_per_s: 400,
            waiting: 4096,
        }
    }
}
