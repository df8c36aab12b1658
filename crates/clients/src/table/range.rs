//! Which rows of a partition a listing gives.

/// A range of sort keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Range {
    /// The whole partition.
    #[default]
    All,
    /// Sort keys that begin with this text.
    Prefix(String),
    /// Sort keys greater than this one.
    After(String),
    /// Sort keys from the first to the second, both included.
    Between(String, String),
}

impl Range {
    /// Whether a sort key lies in the range.
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
