//! Positions of bills.

/// Position of a bill.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Line of the bill within the batch.
    pub line: usize,
}
