//! Rows of the table.

/// A row of the table, identified by its partition key and sort key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Item {
    /// Partition key.
    pub partition: String,
    /// Sort key within the partition.
    pub sort: String,
    /// Revision, compared by conditional writes.
    pub rev: u64,
    /// Content as JSON text.
    pub body: String,
}

impl Item {
    /// Creates a row.
    ///
    /// ```
    /// let item = clients::table::Item::new("config", "head", 1, "{}");
    /// assert_eq!(item.rev, 1);
    /// ```
    pub fn new(
        partition: impl Into<String>,
        sort: impl Into<String>,
        rev: u64,
        body: impl Into<String>,
    ) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
            rev,
            body: body.into(),
        }
    }
}
