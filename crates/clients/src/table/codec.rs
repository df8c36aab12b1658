//! Request bodies and constants of the table service's protocol.

use super::{Condition, Item, Range, Write};
use serde_json::{Map, Value, json};

pub(super) const TARGET_HEADER: &str = "x-amz-target";
pub(super) const TARGET_PREFIX: &str = "DynamoDB_20120810.";
pub(super) const CONTENT_TYPE: &str = "application/x-amz-json-1.0";
pub(super) const CONDITION_FAILED: &str = "ConditionalCheckFailedException";
pub(super) const TRANSACTION_CANCELED: &str = "TransactionCanceledException";
pub(super) const TRANSACTION_IN_PROGRESS: &str = "TransactionInProgressException";
pub(super) const THROUGHPUT_EXCEEDED: &str = "ProvisionedThroughputExceededException";
pub(super) const THROTTLED: &str = "ThrottlingException";
pub(super) const REASON_CONDITION: &str = "ConditionalCheckFailed";

/// Body of GetItem.
pub(super) fn get(table: &str, partition: &str, sort: &str) -> Value {
    json!({ "TableName": table, "Key": key(partition, sort), "ConsistentRead": true })
}

/// Body of PutItem, also used as a `Put` of a transaction.
pub(super) fn put(table: &str, item: &Item, condition: Condition) -> Value {
    let row = json!({
        "pk": { "S": item.partition },
        "sk": { "S": item.sort },
        "rev": { "N": item.rev.to_string() },
        "body": { "S": item.body },
    });
    with_condition(json!({ "TableName": table, "Item": row }), condition)
}

/// Body of DeleteItem, also used as a `Delete` of a transaction.
pub(super) fn delete(table: &str, partition: &str, sort: &str, condition: Condition) -> Value {
    let body = json!({ "TableName": table, "Key": key(partition, sort) });
    with_condition(body, condition)
}

/// Body of Query. `start` is the last key of the previous page, if any.
pub(super) fn query(
    table: &str,
    partition: &str,
    range: &Range,
    limit: usize,
    start: Option<&Value>,
) -> Value {
    let (condition, values) = key_condition(partition, range);
    let mut body = json!({
        "TableName": table,
        "ConsistentRead": true,
        "KeyConditionExpression": condition,
        "ExpressionAttributeValues": values,
        "Limit": limit,
    });
    if let Some(start) = start {
        body["ExclusiveStartKey"] = start.clone();
    }
    body
}

/// Body of TransactWriteItems.
pub(super) fn transact(table: &str, writes: &[Write], token: &str) -> Value {
    let items: Vec<Value> = writes
        .iter()
        .map(|write| transact_item(table, write))
        .collect();
    json!({ "TransactItems": items, "ClientRequestToken": token })
}

fn transact_item(table: &str, write: &Write) -> Value {
    match write {
        Write::Put { item, condition } => json!({ "Put": put(table, item, *condition) }),
        Write::Delete {
            partition,
            sort,
            condition,
        } => json!({ "Delete": delete(table, partition, sort, *condition) }),
    }
}

fn key(partition: &str, sort: &str) -> Value {
    json!({ "pk": { "S": partition }, "sk": { "S": sort } })
}

/// Adds a condition to the body of a write.
fn with_condition(mut body: Value, condition: Condition) -> Value {
    match condition {
        Condition::Any => {}
        Condition::Absent => body["ConditionExpression"] = json!("attribute_not_exists(pk)"),
        Condition::Rev(rev) => {
            body["ConditionExpression"] = json!("rev = :rev");
            body["ExpressionAttributeValues"] = json!({ ":rev": { "N": rev.to_string() } });
        }
    }
    body
}

/// Key condition expression of a range, with the values of its placeholders.
fn key_condition(partition: &str, range: &Range) -> (&'static str, Map<String, Value>) {
    let mut values = Map::new();
    let mut bind = |name: &str, text: &str| values.insert(name.into(), json!({ "S": text }));
    bind(":pk", partition);
    let condition = match range {
        Range::All => "pk = :pk",
        Range::Prefix(prefix) => {
            bind(":prefix", prefix);
            "pk = :pk AND begins_with(sk, :prefix)"
        }
        Range::After(after) => {
            bind(":after", after);
            "pk = :pk AND sk > :after"
        }
        Range::Between(from, to) => {
            bind(":from", from);
            bind(":to", to);
            "pk = :pk AND sk BETWEEN :from AND :to"
        }
    };
    (condition, values)
}
