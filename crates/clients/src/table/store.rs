//! What the rest of the system asks of a table.

use super::{Condition, Item, Range, Write};
use crate::Error;
use std::future::Future;

/// A table with conditional writes and transactions. Reads are consistent.
pub trait Table: Send + Sync + 'static {
    /// Reads one row.
    fn get(
        &self,
        partition: &str,
        sort: &str,
    ) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Puts one row.
    fn put(
        &self,
        item: Item,
        condition: Condition,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Deletes one row; a row that is already gone is no error under [`Condition::Any`].
    fn delete(
        &self,
        partition: &str,
        sort: &str,
        condition: Condition,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists at most `limit` rows in the order of their sort keys.
    fn list(
        &self,
        partition: &str,
        range: &Range,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Item>, Error>> + Send;

    /// Executes all writes or none. A repeated call with the same token is the same transaction.
    fn transact(
        &self,
        writes: &[Write],
        token: &str,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
