//! What nodes tell each other.

use crate::app::{Update, Crash, Assignment};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use platform::store::Row;
use route::member::Member;
use route::pool::{self, Tag};
use route::relay::{self, Presence, Scope};
use route::{NodeName, Position, ServiceName, Version, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddrV4;
use tokio_tungstenite::tungstenite::Message;

/// What nodes tell each other.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Who opens a link.
    Hello(Hello),
    /// The sender lives.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Whom the sender has heard of: short names and flags.
    Presences(Vec<(u32, u8)>),
    /// What other nodes are to know, each word once.
    #[serde(rename = "News")]
    Notices(Notices),
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
        #[serde(rename = "whole")]
        full: bool,
        /// Position up to which they are complete.
        position: Position,
        /// The changes.
        rows: Vec<Change>,
    },
    /// A long frame, compressed: links of small VMs carry 10 Mbit/s, and a table goes to many
    /// nodes at once.
    #[serde(rename = "Packed")]
    Compressed(Bytes),
}

/// Bytes from which a frame is compressed: shorter ones fit into a few packets as they are.
const COMPRESSION_THRESHOLD: usize = 4 << 10;
/// Most bytes of a frame that was compressed: ten times the largest configuration of the sites,
/// and small beside the memory of a node.
const MAX_FRAME_BYTES: u64 = 8 << 20;

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
    /// What its VM can carry, in thousandths of a core.
    pub capacity: u32,
}

/// The state of a node, or the sum of several. Names are short on the wire: each node sends some heartbeats
/// a second on each link.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Heartbeat {
    /// What it says of its link.
    #[serde(rename = "g")]
    pub role: Role,
    /// Whether it takes requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Whether it follows the store, and the store answers it.
    #[serde(rename = "f")]
    pub follows: bool,
    /// Newest change that it knows of each table.
    #[serde(rename = "n")]
    pub newest: [Position; 4],
    /// Requests that it has on backend servers, with those of the nodes that it tells of.
    #[serde(rename = "l", skip_serializing_if = "BTreeMap::is_empty")]
    pub loads: BTreeMap<Tag, Load>,
    /// Roll-outs under way as it sees them.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<Trial>,
}

/// What other nodes are to know, each word once.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Notices {
    /// Sessions with the versions that they are on.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<Assignment>,
    /// Requests and backend servers that ended under them.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

/// What a beat says of its link: the scope as a number, and flags.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Role(u8, bool, bool);

impl From<relay::Role> for Role {
    fn from(role: relay::Role) -> Self {
        let scope = match role.scope {
            Scope::Own => 0,
            Scope::Group => 1,
            Scope::Fleet => 2,
        };
        Self(scope, role.attached, role.primary)
    }
}

impl From<Role> for relay::Role {
    fn from(Role(scope, attached, primary): Role) -> Self {
        let scope = match scope {
            0 => Scope::Own,
            1 => Scope::Group,
            _ => Scope::Fleet,
        };
        Self {
            scope,
            attached,
            primary,
        }
    }
}

/// Bits of the flags of a node that another one has heard of.
const READY: u8 = 1;
const FOLLOWS: u8 = 2;

/// A node that another one has heard of, as it goes over a link.
pub fn encode_presence(presence: &Presence) -> (u32, u8) {
    let flag = |is: bool, bit: u8| if is { bit } else { 0 };
    (
        presence.tag,
        flag(presence.ready, READY) | flag(presence.follows, FOLLOWS),
    )
}

/// A node that another one has heard of.
pub fn decode_presence((tag, flags): (u32, u8)) -> Presence {
    Presence {
        tag,
        ready: flags & READY != 0,
        follows: flags & FOLLOWS != 0,
    }
}

/// Requests on a backend server: how many, thousands of their tokens, tenths of their weight, and
/// hundreds of the tokens that are yet to be read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load(u32, u32, u32, u32);

impl From<pool::Load> for Load {
    fn from(load: pool::Load) -> Self {
        let rounded = |value: f64| value.round() as u32;
        Self(
            load.requests,
            rounded(load.tokens / 1e3),
            rounded(load.weight * 1e1),
            rounded(load.unread / 1e2),
        )
    }
}

impl From<Load> for pool::Load {
    fn from(Load(requests, thousands, tenths, hundreds): Load) -> Self {
        Self {
            requests,
            tokens: f64::from(thousands) * 1e3,
            weight: f64::from(tenths) / 1e1,
            unread: f64::from(hundreds) * 1e2,
        }
    }
}

impl From<Member> for Hello {
    fn from(member: Member) -> Self {
        Self {
            node: member.node,
            zone: member.zone,
            requests: member.requests,
            link: member.link,
            capacity: member.capacity,
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
            capacity: hello.capacity,
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
    pub fn rows(table: u8, update: Update) -> Self {
        Self::Rows {
            table,
            full: update.full,
            position: update.page.position,
            rows: update.page.rows.into_iter().map(Change::from).collect(),
        }
    }

    /// The frame as a message of a link.
    pub fn encode(&self) -> Option<Message> {
        let bytes = match self.pack() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = 1712; "frame can't be encoded: {error}");
                return None;
            }
        };
        Some(Message::Binary(bytes.into()))
    }

    fn pack(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(Error::Write)?;
        if bytes.len() < COMPRESSION_THRESHOLD {
            return Ok(bytes);
        }
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(&bytes)?;
        let packed = Self::Compressed(packer.finish()?.into());
        bytes.clear();
        ciborium::into_writer(&packed, &mut bytes).map_err(Error::Write)?;
        Ok(bytes)
    }

    /// Reads a message of a link; none when it is no frame.
    pub fn decode(message: &Message) -> Option<Self> {
        let Message::Binary(bytes) = message else {
            return None;
        };
        match Self::unpack(bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!(event = 1717; "frame can't be decoded: {error}");
                None
            }
        }
    }

    fn unpack(bytes: &[u8]) -> Result<Self, Error> {
        let packed = match ciborium::from_reader(bytes).map_err(Error::Read)? {
            Self::Compressed(packed) => packed,
            frame => return Ok(frame),
        };
        let reader = DeflateDecoder::new(packed.as_ref()).take(MAX_FRAME_BYTES);
        match ciborium::from_reader(reader).map_err(Error::Read)? {
            Self::Compressed(_) => Err(Error::Nested),
            frame => Ok(frame),
        }
    }
}

/// Why a frame can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Write(ciborium::ser::Error<io::Error>),
    #[error(transparent)]
    Read(ciborium::de::Error<io::Error>),
    #[error("compression: {0}")]
    Pack(#[from] io::Error),
    #[error("a compressed frame holds another one")]
    Nested,
}
