//! The two versions of a roll-out.

/// One of the two versions of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version that served before.
    Old,
    /// The version that is being rolled out.
    New,
}
