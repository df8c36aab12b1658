//! Interface of the table, implemented by the HTTP client and the in-memory table.

use super::{Condition, Item, Range, Write};
use crate::Error;
use std::future::Future;

/// A table with conditional writes and transactions. Reads are strongly consistent.
pub trait Table: Send + Sync + 'static {
    /// Reads a row; `None` if it doesn't exist.
    fn get(
        &self,
        partition: &str,
        sort: &str,
    ) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Writes a row.
    fn put(
        &self,
        item: Item,
        condition: Condition,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Deletes a row. With [`Condition::Any`], deleting a row that doesn't exist is not an error.
    fn delete(
        &self,
        partition: &str,
        sort: &str,
        condition: Condition,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists at most `limit` rows, ordered by sort key.
    fn list(
        &self,
        partition: &str,
        range: &Range,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Item>, Error>> + Send;

    /// Executes all writes or none. A call that repeats the token of an executed transaction has no
    /// further effect.
    fn transact(
        &self,
        writes: &[Write],
        token: &str,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
