//! What nodes tell each other.

use crate::app::{Copy, Crash, Stay};
use bytes::Bytes;
use platform::store::Row;
use route::member::Member;
use route::pool::Tag;
use route::{NodeName, Position, ServiceName, Version, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use tokio_tungstenite::tungstenite::Message;

/// What nodes tell each other.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Who opens a link.
    Hello(Hello),
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
        /// Whether it is the whole table.
        whole: bool,
        /// Position up to which they are complete.
        position: Position,
        /// The changes.
        rows: Vec<Change>,
    },
}

/// A node.
#[derive(Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Its name.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it takes requests.
    pub requests: SocketAddrV4,
    /// Where it takes links.
    pub link: SocketAddrV4,
}

/// The state of a node. Names are short on the wire: each node sends some beats a second to each
/// other one.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Beat {
    /// Whether it takes requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Whether it follows the store, and the store answers it.
    #[serde(rename = "f")]
    pub follows: bool,
    /// Newest change that it knows of each table.
    #[serde(rename = "n")]
    pub newest: [Position; 4],
    /// Requests that it has on backend servers, with thousands of their tokens.
    #[serde(rename = "l", skip_serializing_if = "BTreeMap::is_empty")]
    pub loads: BTreeMap<Tag, (u32, u32)>,
    /// Roll-outs under way as it sees them.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<Trial>,
    /// Sessions with the versions that they are on, as far as the receiver hasn't been told.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub stays: Vec<Stay>,
    /// Requests and backend servers that ended under them, likewise.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

impl From<Member> for Hello {
    fn from(member: Member) -> Self {
        Self {
            node: member.node,
            zone: member.zone,
            requests: member.requests,
            link: member.link,
        }
    }
}

impl From<Hello> for Member {
    fn from(hello: Hello) -> Self {
        Self {
            node: hello.node,
            zone: hello.zone,
            requests: hello.requests,
            link: hello.link,
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
    /// Of the old version: requests sent, answers known, bad ones, timed ones and slow ones.
    pub old: [u32; 5],
    /// The same of the new version.
    pub new: [u32; 5],
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
    /// What is told of a table.
    pub fn rows(table: u8, copy: Copy) -> Self {
        Self::Rows {
            table,
            whole: copy.whole,
            position: copy.page.position,
            rows: copy.page.rows.into_iter().map(Change::from).collect(),
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
