//! A block of requests by the parts of their prompts.

use super::Part;

/// A block of all requests that hold certain parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Block {
    /// The parts in ascending order. With several of them, the crashes don't tell which one causes them,
    /// and only requests that hold all of them are blocked.
    pub parts: Vec<Part>,
    /// Number of blocks in a row.
    pub level: u32,
}
