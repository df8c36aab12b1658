//! Batches of bills that are written together.

use super::Bill;
use clients::Table;
use clients::table::{Condition, Item};
use contract::Owner;

/// Partition that holds all batches.
const PARTITION: &str = "bill";

/// Bills of one owner under one sequence number. Writing a batch is idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Owner of the bills.
    pub owner: Owner,
    /// Sequence number among the owner's batches.
    pub sequence: u64,
    /// The bills in the order in which they were added.
    pub bills: Vec<Bill>,
}

impl Batch {
    /// The table row of this batch. Its revision is the number of bills.
    ///
    /// ```
    /// use contract::Owner;
    /// let batch = ledger::bill::Batch { owner: Owner::new("n1", 3), sequence: 7, bills: vec![] };
    /// assert_eq!(batch.item()?.sort, "n1/3/00000000000000000007");
    /// # Ok::<(), ledger::Error>(())
    /// ```
    pub fn item(&self) -> Result<Item, crate::Error> {
        let Owner { node, incarnation } = &self.owner;
        let sort = format!("{node}/{incarnation}/{:020}", self.sequence);
        let body = serde_json::to_string(&self.bills)?;
        Ok(Item::new(PARTITION, sort, self.bills.len() as u64, body))
    }

    /// Writes the batch as its owner. The write is unconditional because only the owner is sure to have
    /// the complete batch.
    pub async fn write<T: Table>(&self, table: &T) -> Result<(), crate::Error> {
        Ok(table.put(self.item()?, Condition::Any).await?)
    }

    /// Writes the batch as a peer, unless the existing row has at least as many bills. Every copy of a
    /// batch is a prefix of it, so the longest copy contains all others.
    pub async fn recover<T: Table>(&self, table: &T) -> Result<(), crate::Error> {
        let item = self.item()?;
        let found = table.get(&item.partition, &item.sort).await?;
        let condition = match found {
            Some(found) if found.rev >= item.rev => return Ok(()),
            Some(found) => Condition::Rev(found.rev),
            None => Condition::Absent,
        };
        Ok(table.put(item, condition).await?)
    }

    /// Parses the bills of a row.
    pub fn read(item: &Item) -> Result<Vec<Bill>, crate::Error> {
        Ok(serde_json::from_str(&item.body)?)
    }
}
