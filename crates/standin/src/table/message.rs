//! Request bodies of the table service.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A row: a map from attribute names to typed values.
pub type Item = Map<String, Value>;

/// Primary key of a row: partition key and sort key.
pub type Key = (String, String);

/// Condition and placeholders, common to several operations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Expression {
    /// Condition that must hold for a write to be executed.
    #[serde(default)]
    pub condition_expression: Option<String>,
    /// Attribute names by placeholder.
    #[serde(default)]
    pub expression_attribute_names: Map<String, Value>,
    /// Values by placeholder.
    #[serde(default)]
    pub expression_attribute_values: Map<String, Value>,
}

/// Body of `GetItem`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Get {
    /// Key of the row.
    pub key: Item,
}

/// Body of `PutItem`, or `Put` in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    /// Row to write.
    pub item: Item,
    /// Condition of the write.
    #[serde(flatten)]
    pub expression: Expression,
}

/// Body of `DeleteItem`, or `Delete` or `ConditionCheck` in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Remove {
    /// Key of the row.
    pub key: Item,
    /// Condition of the write.
    #[serde(flatten)]
    pub expression: Expression,
}

/// A write, alone or in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Write {
    /// Checks a condition without writing.
    ConditionCheck(Remove),
    /// Deletes a row.
    Delete(Remove),
    /// Creates or replaces a row.
    Put(Put),
}

/// Body of `TransactWriteItems`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Transaction {
    /// Writes of the transaction.
    pub transact_items: Vec<Write>,
    /// Idempotency token: a transaction with the token of an executed transaction has no effect.
    #[serde(default)]
    pub client_request_token: Option<String>,
}

/// Body of `Query`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    /// Condition on the primary key.
    pub key_condition_expression: String,
    /// Placeholders of attribute names and values.
    #[serde(flatten)]
    pub expression: Expression,
    /// Maximum number of rows in a page.
    #[serde(default)]
    pub limit: Option<usize>,
    /// Key after which the page starts.
    #[serde(default)]
    pub exclusive_start_key: Option<Item>,
    /// Whether rows are returned in ascending order, which is the default.
    #[serde(default)]
    pub scan_index_forward: Option<bool>,
}
