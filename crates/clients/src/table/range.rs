//! Ranges of sort keys.

/// Selects rows of a partition by sort key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Range {
    /// The whole partition.
    #[default]
    All,
    /// Sort keys with this prefix.
    Prefix(String),
    /// Sort keys greater than this one.
    After(String),
    /// Sort keys from the first to the second, inclusive.
    Between(String, String),
}

impl Range {
    /// Whether the range contains a sort key.
    ///
    /// ```
    /// use clients::table::Range;
    /// assert!(Range::After("a".into()).contains("b"));
    /// assert!(!Range::After("a".into()).contains("a"));
    /// ```
    pub fn contains(&self, sort: &str) -> bool {
        match self {
            Self::All => true,
            Self::Prefix(prefix) => sort.starts_with(prefix.as_str()),
            Self::After(after) => sort > after.as_str(),
            Self::Between(from, to) => (from.as_str()..=to.as_str()).contains(&sort),
        }
    }
}
