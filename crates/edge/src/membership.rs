//! This node's row among the nodes.

use crate::app::{App, Table, log_unreadable_row};
use crate::backoff::Backoff;
use platform::store::{Row, Write};
use route::member::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Table of the nodes.
pub const TABLE: &str = "sardinebank-nodes";

/// Pause before a write is tried again; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause before a write is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

#[derive(Deserialize, Serialize)]
struct Stored {
    zone: String,
    requests: SocketAddrV4,
    link: SocketAddrV4,
    /// Thousandths of a core.
    #[serde(default)]
    capacity: u32,
}

/// Decodes a node's row; none when it isn't readable or is gone.
pub fn decode(row: &Row) -> Option<Member> {
    let value = row.value.as_deref()?;
    match serde_json::from_slice::<Stored>(value) {
        Ok(stored) => Some(Member {
            node: row.key.clone(),
            zone: stored.zone,
            http_address: stored.requests,
            link_address: stored.link,
            capacity: stored.capacity,
        }),
        Err(error) => {
            log_unreadable_row(&row.key, &error);
            None
        }
    }
}

fn encode(member: &Member) -> Vec<u8> {
    let stored = Stored {
        zone: member.zone.clone(),
        requests: member.http_address,
        link: member.link_address,
        capacity: member.capacity,
    };
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Writes this node's row unless it stands there already.
pub async fn join(app: Arc<App>) {
    let member = app.member();
    let value = encode(&member);
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    loop {
        let known = {
            let state = app.state();
            let mirror = state.mirror(Table::Members);
            let row = mirror.get(&member.node).and_then(|row| row.value.as_ref());
            mirror.position().map(|_| row == Some(&value))
        };
        match known {
            Some(true) => return,
            Some(false) => {
                let write = Write::new(TABLE).put(&member.node, value.clone());
                match app.store.write(&write).await {
                    Ok(_) => return,
                    Err(error) => {
                        log::warn!(event = 1703; "this node's row isn't written: {error}")
                    }
                }
            }
            None => (),
        }
        backoff.wait().await;
    }
}
