//! Bounds of bills.

use std::time::Duration;

/// When batches are written and how many copies make a bill safe.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait of a bill for others to be written with it.
    pub flush: Duration,
    /// Bills in one batch at most.
    pub batch: usize,
    /// Batches that wait for the platform at most; bills beyond them aren't taken.
    pub backlog: usize,
    /// Peers that must hold a bill while the platform doesn't.
    pub copies: usize,
    /// Time between writes of a batch whose write failed.
    pub retry: Duration,
    /// Time without word from the owner after which a peer writes the owner's bills.
    pub silence: Duration,
    /// Bills of others that a peer holds at most.
    pub replica: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            flush: Duration::from_millis(20),
            batch: 256,
            backlog: 4096,
            copies: 2,
            retry: Duration::from_millis(250),
            silence: Duration::from_secs(10),
            replica: 200_000,
        }
    }
}
