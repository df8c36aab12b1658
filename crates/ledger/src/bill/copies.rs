//! Copies of bills sent by their owner to a peer.

use super::Bill;
use contract::Owner;

/// Bills for a peer to store: consecutive lines of one batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copies {
    /// Owner of the bills.
    pub owner: Owner,
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Line of the first bill within the batch.
    pub start: usize,
    /// The bills.
    pub bills: Vec<Bill>,
    /// The platform has stored all batches below this sequence number.
    pub stored_below: u64,
}
