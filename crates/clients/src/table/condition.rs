//! Conditions for writes.

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Condition {
    /// No condition.
    #[default]
    Any,
    /// The row doesn't exist.
    Absent,
    /// The row exists with this revision.
    Rev(u64),
}

impl Condition {
    /// Whether the condition holds for a row's revision, or `None` if the row doesn't exist.
    ///
    /// ```
    /// use clients::table::Condition;
    /// assert!(Condition::Rev(3).holds(Some(3)));
    /// assert!(!Condition::Absent.holds(Some(3)));
    /// ```
    pub fn holds(self, found: Option<u64>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => found.is_none(),
            Self::Rev(rev) => found == Some(rev),
        }
    }
}
