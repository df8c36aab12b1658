//! Conditions of writes.

/// What must hold for a write to be executed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Condition {
    /// Nothing.
    #[default]
    Any,
    /// No such row exists.
    Absent,
    /// The row exists with this revision.
    Rev(u64),
}

impl Condition {
    /// Whether the condition holds against the revision of a row that may exist.
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
