//! What nodes tell each other.

use crate::app::{Crash, Stay};
use bytes::Bytes;
use platform::store::{Page, Row};
use route::member::Member;
use route::{NodeName, Position, ServerId, ServiceName, Version, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use tokio_tungstenite::tungstenite::Message;

/// What nodes tell each other.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    /// The sender lives.
    Beat(Beat),
    /// Asks for the changes of a table after a position.
    Fetch {
        /// Index of the table.
        table: u8,
        /// The position.
        after: Position,
    },
    /// Changes of a table.
    Rows {
        /// Index of the table.
        table: u8,
        /// The changes.
        rows: Vec<Change>,
    },
}

/// The state of a node.
#[derive(Debug, Deserialize, Serialize)]
pub struct Beat {
    /// The sender.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it takes requests.
    pub requests: SocketAddrV4,
    /// Where it takes links.
    pub link: SocketAddrV4,
    /// Whether it takes requests.
    pub ready: bool,
    /// Newest change that it knows of each table.
    pub newest: [Position; 4],
    /// Requests that it has on backend servers, with their tokens.
    pub loads: BTreeMap<ServerId, (u32, u64)>,
    /// Roll-outs under way as it sees them.
    pub trials: Vec<Trial>,
    /// Sessions with the versions that they are on, as far as the receiver hasn't been told.
    pub stays: Vec<Stay>,
    /// Requests and backend servers that ended under them, likewise.
    pub crashes: Vec<Crash>,
}

impl Beat {
    /// The sender as a member.
    pub fn member(&self) -> Member {
        Member {
            node: self.node.clone(),
            zone: self.zone.clone(),
            requests: self.requests,
            link: self.link,
        }
    }
}

/// A roll-out as a node sees it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Trial {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub to: Version,
    /// Milliseconds since the order.
    pub age_ms: u64,
    /// Requests sent, answers known and bad answers of the old version.
    pub old: [u32; 3],
    /// The same of the new version.
    pub new: [u32; 3],
}

/// A change of a row.
#[derive(Debug, Deserialize, Serialize)]
pub struct Change {
    key: String,
    value: Option<Bytes>,
    position: Position,
    removed: bool,
}

impl From<Row> for Change {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.map(Bytes::from),
            position: row.position,
            removed: row.removed,
        }
    }
}

impl From<Change> for Row {
    fn from(change: Change) -> Self {
        Self {
            key: change.key,
            value: change.value.map(Vec::from),
            position: change.position,
            removed: change.removed,
        }
    }
}

impl Frame {
    /// The changes of a page.
    pub fn rows(table: u8, page: Page) -> Self {
        Self::Rows {
            table,
            rows: page.rows.into_iter().map(Change::from).collect(),
        }
    }

    /// The frame as a message of a link.
    pub fn encode(&self) -> Option<Message> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => Some(Message::Binary(bytes.into())),
            Err(error) => {
                log::error!(event = 1712; "frame can't be encoded: {error}");
                None
            }
        }
    }

    /// Reads a message of a link; none when it is no frame.
    pub fn decode(message: &Message) -> Option<Self> {
        let Message::Binary(bytes) = message else {
            return None;
        };
        match ciborium::from_reader(bytes.as_ref()) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!(event = 1717; "frame can't be decoded: {error}");
                None
            }
        }
    }
}
