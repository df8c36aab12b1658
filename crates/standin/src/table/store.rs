//! In-memory storage of the table service.

use super::condition::{self, holds};
use super::message::{Item, Transaction, Write};
use super::{Failure, Key, Query};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum number of items in a transaction, as in DynamoDB.
const MAX_TRANSACTION_ITEMS: usize = 100;

/// All rows, ordered by primary key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    rows: BTreeMap<Key, Item>,
    tokens: BTreeSet<String>,
}

/// A page of query results.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Rows of the page.
    pub items: Vec<Item>,
    /// Key after which the next page starts, if there are more rows.
    pub last: Option<Item>,
}

impl Store {
    /// Returns the row with a primary key.
    pub fn get(&self, key: &Item) -> Result<Option<&Item>, Failure> {
        Ok(self.rows.get(&key_of(key)?))
    }

    /// Returns all rows of a partition, for assertions at the end of a test.
    pub fn partition(&self, partition: &str) -> Vec<Item> {
        self.rows
            .iter()
            .filter(|((pk, _), _)| pk == partition)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Returns all rows whose partition key starts with a prefix.
    pub fn partitions(&self, prefix: &str) -> Vec<Item> {
        self.rows
            .iter()
            .filter(|((pk, _), _)| pk.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Executes a write if its condition is satisfied.
    ///
    /// ```
    /// use standin::table::{Failure, Store, Write};
    /// let put: Write = serde_json::from_str(r#"{"Put":{
    ///     "Item":{"pk":{"S":"lease"},"sk":{"S":"n1"}},
    ///     "ConditionExpression":"attribute_not_exists(pk)"}}"#).unwrap();
    /// let mut store = Store::default();
    /// assert!(store.write(&put).is_ok());
    /// assert_eq!(store.write(&put), Err(Failure::Condition));
    /// ```
    pub fn write(&mut self, write: &Write) -> Result<(), Failure> {
        if !self.is_condition_met(write)? {
            return Err(Failure::Condition);
        }
        self.execute(write)
    }

    /// Executes all writes of a transaction, or none if the condition of any isn't satisfied.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<(), Failure> {
        let writes = &transaction.transact_items;
        if writes.is_empty() || writes.len() > MAX_TRANSACTION_ITEMS {
            let found = writes.len();
            return Err(Failure::Validation(format!(
                "{found} items in a transaction"
            )));
        }
        if let Some(token) = &transaction.client_request_token
            && self.tokens.contains(token)
        {
            return Ok(());
        }
        let failed = writes
            .iter()
            .map(|write| self.is_condition_met(write).map(|met| !met))
            .collect::<Result<Vec<_>, _>>()?;
        if failed.contains(&true) {
            return Err(Failure::Cancelled(failed));
        }
        for write in writes {
            self.execute(write)?;
        }
        self.tokens.extend(transaction.client_request_token.clone());
        Ok(())
    }

    /// Returns a page of the rows selected by a query.
    pub fn query(&self, query: &Query) -> Result<Page, Failure> {
        let (partition, range) = condition::range(query)?;
        let forward = query.scan_index_forward.unwrap_or(true);
        let start = query.exclusive_start_key.as_ref().map(key_of).transpose()?;
        let rows = self
            .rows
            .range((
                Bound::Included((partition.clone(), String::new())),
                Bound::Unbounded,
            ))
            .take_while(|((pk, _), _)| *pk == partition)
            .filter(|((_, sk), _)| range.contains(sk));
        let mut rows: Vec<_> = rows.collect();
        if !forward {
            rows.reverse();
        }
        rows.retain(|(key, _)| match &start {
            Some(start) if forward => *key > start,
            Some(start) => *key < start,
            None => true,
        });
        let limit = query.limit.unwrap_or(usize::MAX);
        let more = rows.len() > limit;
        rows.truncate(limit);
        let last = rows.last().filter(|_| more).map(|(_, row)| key_item(row));
        let items = rows.into_iter().map(|(_, row)| row.clone()).collect();
        Ok(Page { items, last })
    }

    fn is_condition_met(&self, write: &Write) -> Result<bool, Failure> {
        let (key, expression) = match write {
            Write::Put(put) => (&put.item, &put.expression),
            Write::Delete(remove) | Write::ConditionCheck(remove) => {
                (&remove.key, &remove.expression)
            }
        };
        holds(expression, self.rows.get(&key_of(key)?))
    }

    fn execute(&mut self, write: &Write) -> Result<(), Failure> {
        match write {
            Write::Put(put) => {
                self.rows.insert(key_of(&put.item)?, put.item.clone());
            }
            Write::Delete(remove) => {
                self.rows.remove(&key_of(&remove.key)?);
            }
            Write::ConditionCheck(_) => {}
        }
        Ok(())
    }
}

fn key_of(item: &Item) -> Result<Key, Failure> {
    let part = |name: &str| {
        item.get(name)
            .and_then(|value| value["S"].as_str())
            .map(str::to_owned)
            .ok_or_else(|| Failure::Validation(format!("no key attribute {name}")))
    };
    Ok((part("pk")?, part("sk")?))
}

fn key_item(row: &Item) -> Item {
    let keep = |name: &str| {
        (
            name.to_owned(),
            row.get(name).cloned().unwrap_or(Value::Null),
        )
    };
    [keep("pk"), keep("sk")].into_iter().collect()
}
