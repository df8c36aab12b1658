//! Row formats of the configuration in the table.

use super::Error;
use clients::table::{Condition, Item, Write};
use contract::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use wire::{Delta, Entry};

/// Partition and sort key of the head row.
pub(super) const HEAD: (&str, &str) = ("config", "head");
/// Partition of revision rows.
pub(super) const REVISIONS: &str = "config-rev";
/// Partition of object rows.
pub(super) const OBJECTS: &str = "config-obj";
/// Partition of change-id rows.
pub(super) const CHANGES: &str = "config-change";
/// Partition of lease rows.
pub(super) const LEASES: &str = "lease";
/// Number of digest bytes in a transaction token.
const TOKEN_BYTES: usize = 16;

/// Content of the head row.
#[derive(Deserialize, Serialize)]
struct Head {
    change: ChangeId,
}

/// Content of a change-id row.
#[derive(Deserialize, Serialize)]
pub(super) struct Change {
    pub revision: Revision,
}

/// Returns the sort key of a revision, zero-padded so that the keys sort by number.
pub(super) fn sort_key(revision: Revision) -> String {
    format!("{revision:020}")
}

/// Parses the content of a row.
pub(super) fn parse<T: for<'a> Deserialize<'a>>(
    partition: &'static str,
    item: &Item,
) -> Result<T, Error> {
    serde_json::from_str(&item.body).map_err(|_| Error::UnreadableRow {
        partition,
        sort: item.sort.clone(),
    })
}

/// Returns the writes of the transaction that appends a revision. It fails unless the head is the
/// preceding revision.
pub(super) fn transaction(delta: &Delta) -> Vec<Write> {
    let base = delta.revision - 1;
    let base_condition = match base {
        0 => Condition::Absent,
        base => Condition::Rev(base),
    };
    let head = Head {
        change: delta.change.clone(),
    };
    let change = Change {
        revision: delta.revision,
    };
    let rev = delta.revision;
    let mut writes = vec![
        put_write(HEAD.0, HEAD.1, rev, to_json(&head), base_condition),
        put_write(
            REVISIONS,
            &sort_key(rev),
            rev,
            to_json(delta),
            Condition::Absent,
        ),
        put_write(
            CHANGES,
            &delta.change,
            rev,
            to_json(&change),
            Condition::Absent,
        ),
    ];
    writes.extend(delta.entries.iter().map(|entry| object_write(rev, entry)));
    writes
}

/// Returns the idempotency token of the transaction that appends a revision.
pub(super) fn token(delta: &Delta) -> String {
    let digest = Sha256::digest(to_json(delta).as_bytes());
    let mut token = String::with_capacity(2 * TOKEN_BYTES);
    for byte in &digest[..TOKEN_BYTES] {
        let _ = write!(token, "{byte:02x}");
    }
    token
}

fn object_write(rev: Revision, entry: &Entry) -> Write {
    match &entry.body {
        Some(body) => put_write(OBJECTS, &entry.key, rev, body.clone(), Condition::Any),
        None => Write::Delete {
            partition: OBJECTS.to_owned(),
            sort: entry.key.clone(),
            condition: Condition::Any,
        },
    }
}

fn put_write(partition: &str, sort: &str, rev: u64, body: String, condition: Condition) -> Write {
    Write::Put {
        item: Item::new(partition, sort, rev, body),
        condition,
    }
}

fn to_json(content: &impl Serialize) -> String {
    serde_json::to_string(content).unwrap_or_default()
}
