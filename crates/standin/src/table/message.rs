//! Requests of the table service.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A row: attribute names to typed values.
pub type Item = Map<String, Value>;

/// Primary key of a row.
pub type Key = (String, String);

/// Expressions that several operations share.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Expression {
    /// Condition under which a write takes place.
    #[serde(default)]
    pub condition_expression: Option<String>,
    /// Placeholders of attribute names.
    #[serde(default)]
    pub expression_attribute_names: Map<String, Value>,
    /// Placeholders of values.
    #[serde(default)]
    pub expression_attribute_values: Map<String, Value>,
}

/// `GetItem`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Get {
    /// Key of the row.
    pub key: Item,
}

/// `PutItem`, or `Put` in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    /// The row.
    pub item: Item,
    /// Its condition.
    #[serde(flatten)]
    pub expression: Expression,
}

/// `DeleteItem`, or `Delete` and `ConditionCheck` in a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Remove {
    /// Key of the row.
    pub key: Item,
    /// Its condition.
    #[serde(flatten)]
    pub expression: Expression,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Write {
    /// Checks a condition only.
    ConditionCheck(Remove),
    /// Removes a row.
    Delete(Remove),
    /// Puts a row.
    Put(Put),
}

/// `TransactWriteItems`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Transaction {
    /// The writes.
    pub transact_items: Vec<Write>,
    /// Makes a repetition of the same transaction have no further effect.
    #[serde(default)]
    pub client_request_token: Option<String>,
}

/// `Query`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    /// Condition on the key.
    pub key_condition_expression: String,
    /// Placeholders of names and values.
    #[serde(flatten)]
    pub expression: Expression,
    /// Most rows in one page.
    #[serde(default)]
    pub limit: Option<usize>,
    /// Key after which the page begins.
    #[serde(default)]
    pub exclusive_start_key: Option<Item>,
    /// Whether rows come in ascending order.
    #[serde(default)]
    pub scan_index_forward: Option<bool>,
}
