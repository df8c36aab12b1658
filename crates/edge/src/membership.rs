//! Registration of this node in the table of nodes.

use crate::app::{App, Table, log_unreadable_row};
use crate::backoff::Backoff;
use platform::store::{Row, Write};
use route::Era;
use route::member::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Name of the table of nodes in the store.
pub const TABLE: &str = "sardinebank-nodes";

/// Initial delay before a write is retried.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before a write is retried.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// A node's row as it is stored.
#[derive(Deserialize, Serialize)]
struct Record {
    zone: String,
    requests: SocketAddrV4,
    link: SocketAddrV4,
    /// CPU capacity in thousandths of a core.
    #[serde(default)]
    capacity: u32,
}

/// Decodes a node's row; none if it is invalid or removed.
pub fn decode(row: &Row) -> Option<Member> {
    let value = row.value.as_deref()?;
    match serde_json::from_slice::<Record>(value) {
        Ok(record) => Some(Member {
            node: row.key.clone(),
            zone: record.zone,
            http_address: record.requests,
            link_address: record.link,
            capacity: record.capacity,
        }),
        Err(error) => {
            log_unreadable_row(&row.key, &error);
            None
        }
    }
}

fn encode(member: &Member) -> Vec<u8> {
    let record = Record {
        zone: member.zone.clone(),
        requests: member.http_address,
        link: member.link_address,
        capacity: member.capacity,
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

/// Writes this node's row unless it is up to date, for as long as the node runs: a store that was
/// restored from a copy may have lost the row.
pub async fn register(app: Arc<App>) {
    let member = app.member();
    let value = encode(&member);
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
    let mut registered: Option<Era> = None;
    loop {
        let (era, is_current) = {
            let state = app.state();
            let mirror = state.mirror(Table::Members);
            let row = mirror.get(&member.node).and_then(|row| row.value.as_ref());
            let era = mirror.position().map(|position| position.era);
            (era, row == Some(&value))
        };
        if era.is_none() || registered >= era {
            backoff.wait().await;
            continue;
        }
        if is_current {
            registered = era;
            continue;
        }
        let write = Write::new(TABLE).put(&member.node, value.clone());
        match app.store.write(&write).await {
            Ok(page) => registered = Some(page.position.era),
            Err(error) => {
                log::warn!(event = 1703; "can't write this node's row: {error}");
                backoff.wait().await;
            }
        }
    }
}
