//! Writes in a transaction.

use super::{Condition, Item};

/// One write in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Writes a row.
    Put {
        /// The row.
        item: Item,
        /// Precondition of the write.
        condition: Condition,
    },
    /// Deletes a row.
    Delete {
        /// Partition key.
        partition: String,
        /// Sort key.
        sort: String,
        /// Precondition of the write.
        condition: Condition,
    },
}

impl Write {
    /// Partition key and sort key of the row.
    ///
    /// ```
    /// use clients::table::{Condition, Item, Write};
    /// let item = Item::new("lease", "n1", 1, "{}");
    /// let write = Write::Put { item, condition: Condition::Any };
    /// assert_eq!(write.key(), ("lease", "n1"));
    /// ```
    pub fn key(&self) -> (&str, &str) {
        match self {
            Self::Put { item, .. } => (&item.partition, &item.sort),
            Self::Delete {
                partition, sort, ..
            } => (partition, sort),
        }
    }

    /// Precondition of the write.
    ///
    /// ```
    /// use clients::table::{Condition, Item, Write};
    /// let item = Item::new("lease", "n1", 1, "{}");
    /// let write = Write::Put { item, condition: Condition::Absent };
    /// assert_eq!(write.condition(), Condition::Absent);
    /// ```
    pub fn condition(&self) -> Condition {
        match self {
            Self::Put { condition, .. } | Self::Delete { condition, .. } => *condition,
        }
    }
}
