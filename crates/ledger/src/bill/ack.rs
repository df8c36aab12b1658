//! Acknowledgements of copies.

/// A peer's acknowledgement of the lines of a batch that it holds without a gap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Number of lines held, from the first line of the batch.
    pub lines: usize,
}
