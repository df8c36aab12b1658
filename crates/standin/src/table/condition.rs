//! Evaluation of the supported condition expressions: `attribute_not_exists(name)` and
//! `name = value` for writes, and key conditions for queries.

use super::message::{Expression, Item};
use super::{Failure, Query};
use serde_json::Value;

const NOT_EXISTS: &str = "attribute_not_exists(";

/// Returns whether a row satisfies the condition of a write.
pub fn holds(expression: &Expression, row: Option<&Item>) -> Result<bool, Failure> {
    let Some(text) = expression.condition_expression.as_deref().map(str::trim) else {
        return Ok(true);
    };
    if let Some(rest) = text.strip_prefix(NOT_EXISTS) {
        let name = resolve(expression, rest.trim_end_matches(')').trim());
        return Ok(row.is_none_or(|row| !row.contains_key(&name)));
    }
    let Some((name, value)) = text.split_once('=') else {
        return Err(Failure::Validation(format!("condition {text:?}")));
    };
    let name = resolve(expression, name.trim());
    let expected = placeholder(expression, value.trim())?;
    Ok(row.and_then(|row| row.get(&name)) == Some(expected))
}

/// Range of sort keys selected by a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Range {
    /// All rows of the partition.
    All,
    /// Rows whose sort key starts with a prefix.
    Prefix(String),
    /// Rows with a greater sort key.
    After(String),
    /// Rows between two sort keys, inclusive.
    Between(String, String),
}

impl Range {
    /// Returns whether the range contains a sort key.
    pub fn contains(&self, sort: &str) -> bool {
        match self {
            Self::All => true,
            Self::Prefix(prefix) => sort.starts_with(prefix.as_str()),
            Self::After(after) => sort > after.as_str(),
            Self::Between(from, to) => from.as_str() <= sort && sort <= to.as_str(),
        }
    }
}

/// Returns the partition and the sort key range of a query.
pub fn range(query: &Query) -> Result<(String, Range), Failure> {
    let expression = &query.expression;
    let text = query.key_condition_expression.trim();
    let (partition, rest) = text.split_once(" AND ").unwrap_or((text, ""));
    let (_, partition) = partition
        .split_once('=')
        .ok_or_else(|| Failure::Validation(format!("key condition {text:?}")))?;
    let partition = string(expression, partition.trim())?;
    Ok((partition, sort_range(expression, rest.trim())?))
}

fn sort_range(expression: &Expression, text: &str) -> Result<Range, Failure> {
    if text.is_empty() {
        return Ok(Range::All);
    }
    if let Some(rest) = text.strip_prefix("begins_with(") {
        let (_, value) = rest.split_once(',').unwrap_or_default();
        let prefix = string(expression, value.trim_end_matches(')').trim())?;
        return Ok(Range::Prefix(prefix));
    }
    if let Some((_, bounds)) = text.split_once(" BETWEEN ") {
        let (from, to) = bounds.split_once(" AND ").unwrap_or_default();
        let from = string(expression, from.trim())?;
        return Ok(Range::Between(from, string(expression, to.trim())?));
    }
    if let Some((_, after)) = text.split_once('>') {
        return Ok(Range::After(string(expression, after.trim())?));
    }
    Err(Failure::Validation(format!("key condition {text:?}")))
}

fn resolve(expression: &Expression, name: &str) -> String {
    expression
        .expression_attribute_names
        .get(name)
        .and_then(Value::as_str)
        .unwrap_or(name)
        .to_owned()
}

fn placeholder<'a>(expression: &'a Expression, name: &str) -> Result<&'a Value, Failure> {
    expression
        .expression_attribute_values
        .get(name)
        .ok_or_else(|| Failure::Validation(format!("no value for {name:?}")))
}

fn string(expression: &Expression, name: &str) -> Result<String, Failure> {
    placeholder(expression, name)?["S"]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| Failure::Validation(format!("{name:?} isn't a string")))
}
