//! Responses of the table service.

use super::{Item, codec};
use crate::{Cause, Error};
use serde::Deserialize;
use serde_json::Value;

/// A row in the service's attribute format.
#[derive(Debug, Deserialize)]
pub(super) struct Row {
    pk: Text,
    sk: Text,
    #[serde(default)]
    rev: Option<Number>,
    #[serde(default)]
    body: Option<Text>,
}

#[derive(Debug, Deserialize)]
struct Text {
    #[serde(rename = "S")]
    text: String,
}

#[derive(Debug, Deserialize)]
struct Number {
    #[serde(rename = "N")]
    digits: String,
}

/// Response to GetItem.
#[derive(Debug, Deserialize)]
pub(super) struct Get {
    #[serde(rename = "Item", default)]
    pub item: Option<Row>,
}

/// Response to Query, one page.
#[derive(Debug, Deserialize)]
pub(super) struct Query {
    #[serde(rename = "Items", default)]
    pub items: Vec<Row>,
    #[serde(rename = "LastEvaluatedKey", default)]
    pub last: Option<Value>,
}

/// Response to a write. None of its fields are used.
#[derive(Debug, Deserialize)]
pub(super) struct Acknowledgement {}

/// Body of an error response.
#[derive(Debug, Default, Deserialize)]
struct Failure {
    #[serde(rename = "__type", default)]
    kind: String,
    #[serde(rename = "CancellationReasons", default)]
    reasons: Vec<Reason>,
}

#[derive(Debug, Deserialize)]
struct Reason {
    #[serde(rename = "Code", default)]
    code: Option<String>,
}

impl From<Row> for Item {
    fn from(row: Row) -> Self {
        let digits = row.rev.map(|number| number.digits).unwrap_or_default();
        Self {
            partition: row.pk.text,
            sort: row.sk.text,
            rev: digits.parse().unwrap_or_default(),
            body: row.body.map(|text| text.text).unwrap_or_default(),
        }
    }
}

/// Converts an error response to an [`Error`].
pub(super) fn parse_error(status: u16, body: &[u8]) -> Error {
    if status >= 500 {
        return Error::Unknown(Cause::Status(status));
    }
    let failure: Failure = serde_json::from_slice(body).unwrap_or_default();
    match failure.kind.rsplit('#').next().unwrap_or_default() {
        codec::CONDITION_FAILED => Error::Conflict { failed: vec![0] },
        codec::TRANSACTION_CANCELED => cancellation(&failure.reasons),
        codec::THROUGHPUT_EXCEEDED | codec::THROTTLED | codec::TRANSACTION_IN_PROGRESS => {
            Error::Throttled
        }
        kind => Error::Rejected {
            status,
            kind: kind.to_owned(),
        },
    }
}

/// A transaction cancelled by a failed condition is a conflict. Any other reason is caused by load
/// and counts as throttling.
fn cancellation(reasons: &[Reason]) -> Error {
    let failed: Vec<usize> = reasons
        .iter()
        .enumerate()
        .filter(|(_, reason)| reason.code.as_deref() == Some(codec::REASON_CONDITION))
        .map(|(index, _)| index)
        .collect();
    if failed.is_empty() {
        return Error::Throttled;
    }
    Error::Conflict { failed }
}
