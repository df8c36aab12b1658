//! Bounds of bills.

use std::time::Duration;

/// When batches are written and how many copies make a bill safe.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait of a bill for others to be written with it.
    pub flush_age: Duration,
    /// Bills in one batch at most.
    pub batch_size: usize,
    /// Batches that wait for the platform at most; bills beyond them aren't taken.
    pub max_batches: usize,
    /// Peers that must hold a bill while the platform doesn't.
    pub required_copies: usize,
    /// Time between writes of a batch whose write failed.
    pub retry_interval: Duration,
    /// Time without word from the owner after which a peer writes the owner's bills.
    pub owner_timeout: Duration,
    /// Bills of others that a peer holds at most.
    pub replica_capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            flush_age: Duration::from_millis(20),
            batch_size: 256,
            max_batches: 4096,
            required_copies: 2,
            retry_interval: Duration::from_millis(250),
            owner_timeout: Duration::from_secs(10),
            replica_capacity: 200_000,
        }
    }
}
