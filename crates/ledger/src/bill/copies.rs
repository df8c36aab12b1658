//! What an owner of bills and the peers that hold copies tell each other.

use super::Bill;
use contract::Owner;

/// Bills for a peer to hold: a run of lines of one batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copies {
    /// Whose bills these are.
    pub owner: Owner,
    /// Batch that they belong to.
    pub sequence: u64,
    /// Line of the first one within its batch.
    pub start: usize,
    /// The bills.
    pub bills: Vec<Bill>,
    /// All batches below this one are kept by the platform.
    pub stored_below: u64,
}

/// A peer's answer: it holds this many lines of a batch, without a gap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Batch that is held.
    pub sequence: u64,
    /// Lines held from the first one on.
    pub lines: usize,
}
