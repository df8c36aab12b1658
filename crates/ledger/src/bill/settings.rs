//! Settings of bills.

use std::time::Duration;

/// Batching, replication and retry settings of bills.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum age of the open batch before it is written.
    pub flush_age: Duration,
    /// Maximum number of bills in a batch.
    pub batch_size: usize,
    /// Maximum number of batches that the platform has not stored; new requests are rejected above it.
    pub max_batches: usize,
    /// Number of peers that must hold a copy of a bill that the platform has not stored.
    pub required_copies: usize,
    /// Time before an unconfirmed write of a batch, or unacknowledged copies, are retried.
    pub retry_interval: Duration,
    /// Time without copies from an owner after which a peer writes the owner's bills.
    pub owner_timeout: Duration,
    /// Maximum number of bills of other nodes that a peer holds.
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
