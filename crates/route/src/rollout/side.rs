//! The two versions of a roll-out.

/// One of the two versions of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// What served before.
    Old,
    /// The version that is rolled out.
    New,
}
