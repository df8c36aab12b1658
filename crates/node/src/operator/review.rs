//! Validates a change before it is proposed.

use super::Error;
use contract::check::{Finding, check_schema, has_errors, introduced_findings};
use contract::operator::Edit;
use contract::{Config, Object, ObjectKey, Violation};
use serde_json::Value;
use std::sync::Arc;
use tokio::task::spawn_blocking;
use wire::Entry;

/// Prefix of the keys of member objects, which only nodes write.
const MEMBER_PREFIX: &str = "member/";

/// A valid change.
#[derive(Debug)]
pub(super) struct Review {
    /// Entries to propose.
    pub entries: Vec<Entry>,
    /// Warnings about the change.
    pub findings: Vec<Finding>,
}

/// Validates a change on a blocking thread, because a check takes milliseconds per 1,000 contracts.
pub(super) async fn review(config: Arc<Config>, edits: Vec<Edit>) -> Result<Review, Error> {
    spawn_blocking(move || check(&config, &edits))
        .await
        .map_err(|_| Error::ReviewFailed)?
}

/// Parses the edits and checks the configuration that results from them.
///
/// The check runs against the configuration applied on this node and doesn't see changes that other
/// nodes write at the same time. A fault that only two such changes together cause is found by the
/// next check.
fn check(config: &Config, edits: &[Edit]) -> Result<Review, Error> {
    let mut objects = Vec::with_capacity(edits.len());
    let mut faults = Vec::new();
    for edit in edits {
        if edit.key.starts_with(MEMBER_PREFIX) {
            return Err(Error::ReadOnlyMember(edit.key.clone()));
        }
        match parse(edit) {
            Ok(object) => objects.push((edit.key.clone(), object)),
            Err(findings) => faults.extend(findings),
        }
    }
    if !faults.is_empty() {
        return Err(Error::Findings(faults));
    }
    let after = config.with_edits(objects.iter().cloned());
    let findings = introduced_findings(config, &after);
    if has_errors(&findings) {
        return Err(Error::Findings(findings));
    }
    let entries = objects.iter().map(entry).collect::<Result<_, _>>()?;
    Ok(Review { entries, findings })
}

fn entry((key, object): &(ObjectKey, Option<Object>)) -> Result<Entry, Error> {
    let body = object.as_ref().map(serde_json::to_string).transpose()?;
    Ok(Entry {
        key: key.clone(),
        body,
    })
}

fn parse(edit: &Edit) -> Result<Option<Object>, Vec<Finding>> {
    let Some(value) = &edit.object else {
        return Ok(None);
    };
    let kind = edit.key.split('/').next().unwrap_or_default();
    let body = value.get(kind).unwrap_or(&Value::Null);
    let findings = check_schema(kind, &edit.key, body);
    if !findings.is_empty() {
        return Err(findings);
    }
    let schema_fault =
        |message: String| vec![Finding::new(&edit.key, "", Violation::Schema(message))];
    let object: Object =
        serde_json::from_value(value.clone()).map_err(|error| schema_fault(error.to_string()))?;
    let found = object.key();
    match found == edit.key {
        true => Ok(Some(object)),
        false => Err(schema_fault(format!("the object belongs under {found}"))),
    }
}
