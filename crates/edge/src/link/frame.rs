//! Frames of the protocol between nodes.

use crate::app::{Assignment, Crash, Table, Update};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use limits::poison::{Block, Part, RequestTag};
use platform::store::Row;
use route::member::Member;
use route::pool::{self, Rate, Tag};
use route::relay::{self, Presence, Scope};
use route::{Era, NodeName, Position, ServerId, ServiceName, Version, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio_tungstenite::tungstenite::Message;

/// A frame of the protocol between nodes.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Identifies the sender; the first frame on a link.
    Hello(Hello),
    /// State of the sender, sent periodically.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Nodes that the sender knows to be alive: short names and flags.
    Presences(Vec<(u32, u8)>),
    /// Notices for all nodes, each sent once.
    #[serde(rename = "News")]
    Notices(Notices),
    /// Requests the changes of a table after a position.
    Fetch {
        /// Index of the table.
        table: u8,
        /// Number of the position.
        after: u64,
        /// Era of the position. Nodes of earlier versions name none.
        #[serde(default, skip_serializing_if = "is_zero")]
        era: Era,
    },
    /// Changes of a table.
    Rows {
        /// Index of the table.
        table: u8,
        /// Whether they are the full table.
        #[serde(rename = "whole")]
        full: bool,
        /// Number of the position up to which the changes are complete.
        position: u64,
        /// Era of that position and of all changes.
        #[serde(default, skip_serializing_if = "is_zero")]
        era: Era,
        /// The changes.
        rows: Vec<Change>,
    },
    /// A long frame, compressed: links of small VMs carry 10 Mbit/s, and a table is sent to many
    /// nodes at once.
    #[serde(rename = "Packed")]
    Compressed(Bytes),
}

/// Length in bytes from which a frame is compressed; shorter frames fit into a few packets anyway.
const COMPRESSION_THRESHOLD: usize = 4 << 10;
/// Maximum length of a decompressed frame: ten times the largest configuration of the sites, and
/// small compared with the memory of a node.
const MAX_FRAME_BYTES: u64 = 8 << 20;

/// Age from which what an answer has said of a limit is ignored: nodes probe the server long before.
const MAX_NAMING_AGE: Duration = Duration::from_secs(600);

/// Identity and addresses of a node.
#[derive(Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Name of the node.
    pub node: NodeName,
    /// Availability zone of the node.
    pub zone: Zone,
    /// Address for requests of callers.
    #[serde(rename = "requests")]
    pub http_address: SocketAddrV4,
    /// Address for links of other nodes.
    #[serde(rename = "link")]
    pub link_address: SocketAddrV4,
    /// Capacity of its VM, in thousandths of a core.
    pub capacity: u32,
}

/// The state of a node, or the sum over several nodes. Names are short on the wire, since each node
/// sends several heartbeats a second on each link.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Heartbeat {
    /// Role of the link.
    #[serde(rename = "g")]
    pub role: Role,
    /// Whether the sender accepts requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Whether the sender follows the store and can reach it.
    #[serde(rename = "f")]
    pub follows_store: bool,
    /// Whether the sender doesn't reach backend servers itself. Nodes of earlier versions leave it out.
    #[serde(rename = "u", skip_serializing_if = "std::ops::Not::not")]
    pub is_cut: bool,
    /// Number of the latest change of each table that the sender knows.
    #[serde(rename = "n")]
    newest: [u64; 4],
    /// Eras of these changes. Nodes of earlier versions name none.
    #[serde(rename = "e", skip_serializing_if = "are_zero")]
    eras: [Era; 4],
    /// Load on backend servers from the sender and the nodes that it reports for.
    #[serde(rename = "l", skip_serializing_if = "BTreeMap::is_empty")]
    pub loads: BTreeMap<Tag, Load>,
    /// Counts of the roll-outs in progress.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<Trial>,
}

fn is_zero(era: &Era) -> bool {
    *era == 0
}

fn are_zero(eras: &[Era; 4]) -> bool {
    eras.iter().all(is_zero)
}

impl Heartbeat {
    /// Latest change of a table that the sender knows.
    pub fn newest(&self, table: Table) -> Position {
        Position {
            era: self.eras[table as usize],
            number: self.newest[table as usize],
        }
    }

    /// Whether it names the eras of all changes.
    pub fn names_era(&self) -> bool {
        let mut changes = self.newest.iter().zip(self.eras);
        changes.all(|(number, era)| *number == 0 || era > 0)
    }

    /// Sets the latest change of each table, in the order of their indexes.
    pub fn set_newest(&mut self, newest: [Position; 4]) {
        self.newest = newest.map(|position| position.number);
        self.eras = newest.map(|position| position.era);
    }
}

/// Notices for all nodes, each sent once.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Notices {
    /// Sessions with the versions they are assigned to.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<Assignment>,
    /// Requests, and backend servers that crashed while running them.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Starts of backend servers that have said that they are leaving.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<(ServerId, u64)>,
    /// Parts of prompts, requests with them, and starts of backend servers that crashed before they
    /// began to answer.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub part_crashes: Vec<(Part, RequestTag, ServerId)>,
    /// Parts that are blocked, with the number of blocks in a row.
    #[serde(rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub part_blocks: Vec<(Part, u32)>,
    /// Groups of parts that are blocked together, with the number of blocks in a row. Nodes of earlier
    /// versions ignore them.
    #[serde(rename = "g", skip_serializing_if = "Vec::is_empty")]
    pub group_blocks: Vec<(Vec<Part>, u32)>,
    /// Parts that an answer has shown to be sound.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub part_answers: Vec<Part>,
    /// What answers of backend servers have said of their limits.
    #[serde(rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub namings: Vec<Naming>,
}

impl Notices {
    /// Adds a block.
    pub fn push_block(&mut self, block: Block) {
        match block.parts[..] {
            [part] => self.part_blocks.push((part, block.level)),
            _ => self.group_blocks.push((block.parts, block.level)),
        }
    }

    /// Takes the blocks.
    pub fn take_blocks(&mut self) -> impl Iterator<Item = Block> + use<> {
        let single = std::mem::take(&mut self.part_blocks).into_iter();
        let single = single.map(|(part, level)| (vec![part], level));
        let groups = std::mem::take(&mut self.group_blocks);
        let blocks = single.chain(groups);
        blocks.map(|(mut parts, level)| {
            parts.sort_unstable();
            parts.dedup();
            Block { parts, level }
        })
    }
}

/// What an answer of a backend server has said of its limit: the server, its start, the requests per
/// second that it takes from all nodes (none if the limit has ended), and the milliseconds since the
/// answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Naming(ServerId, u64, Option<Rate>, u64);

impl Naming {
    /// Encodes what an answer has said, with its age.
    pub fn encode(naming: &pool::Naming, now: Instant) -> Self {
        let age = now.saturating_duration_since(naming.at);
        Self(
            naming.server.clone(),
            naming.started_ms,
            naming.rate,
            age.as_millis() as u64,
        )
    }

    /// Decodes what an answer has said; none if the rate is no limit, or the answer too old.
    pub fn decode(self, now: Instant) -> Option<pool::Naming> {
        let Self(server, started_ms, rate, age_ms) = self;
        let age = Duration::from_millis(age_ms);
        if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) || age > MAX_NAMING_AGE {
            log::warn!(event = 1763, server = server.as_str(), age_ms = age_ms; "ignoring a limit from another node");
            return None;
        }
        Some(pool::Naming {
            server,
            started_ms,
            rate,
            at: now.checked_sub(age)?,
        })
    }
}

/// Role of a link: the scope as a number, and whether the sender is attached and the receiver is
/// its primary relay.
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

/// Bits of the flags in a presence.
const READY: u8 = 1;
const FOLLOWS: u8 = 2;
/// Set if it doesn't reach backend servers, since nodes of earlier versions leave it out.
const CUT: u8 = 4;
/// Set if it names no era of the store; nodes of earlier versions never set it.
const NO_ERA: u8 = 8;

/// Encodes the presence of a node.
pub fn encode_presence(presence: &Presence) -> (u32, u8) {
    let flag = |is: bool, bit: u8| if is { bit } else { 0 };
    (
        presence.tag,
        flag(presence.ready, READY)
            | flag(presence.follows_store, FOLLOWS)
            | flag(!presence.reaches_servers, CUT)
            | flag(!presence.names_era, NO_ERA),
    )
}

/// Decodes the presence of a node.
pub fn decode_presence((tag, flags): (u32, u8)) -> Presence {
    Presence {
        tag,
        ready: flags & READY != 0,
        follows_store: flags & FOLLOWS != 0,
        reaches_servers: flags & CUT == 0,
        names_era: flags & NO_ERA == 0,
    }
}

/// Load on a backend server: the number of requests, their tokens in thousands, their weight in
/// tenths, and the prompt tokens yet to be processed in hundreds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load(u32, u32, u32, u32);

impl From<pool::Load> for Load {
    fn from(load: pool::Load) -> Self {
        let rounded = |value: f64| value.round() as u32;
        Self(
            load.requests,
            rounded(load.tokens / 1e3),
            rounded(load.weight * 1e1),
            rounded(load.pending_prefill / 1e2),
        )
    }
}

impl From<Load> for pool::Load {
    fn from(Load(requests, thousands, tenths, hundreds): Load) -> Self {
        Self {
            requests,
            tokens: f64::from(thousands) * 1e3,
            weight: f64::from(tenths) / 1e1,
            pending_prefill: f64::from(hundreds) * 1e2,
        }
    }
}

impl From<Member> for Hello {
    fn from(member: Member) -> Self {
        Self {
            node: member.node,
            zone: member.zone,
            http_address: member.http_address,
            link_address: member.link_address,
            capacity: member.capacity,
        }
    }
}

impl From<Hello> for Member {
    fn from(hello: Hello) -> Self {
        Self {
            node: hello.node,
            zone: hello.zone,
            http_address: hello.http_address,
            link_address: hello.link_address,
            capacity: hello.capacity,
        }
    }
}

/// Counts of a roll-out.
#[derive(Debug, Deserialize, Serialize)]
pub struct Trial {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub to: Version,
    /// Milliseconds since the operator's order.
    pub age_ms: u64,
    /// Counts of the old version: requests sent, responses known to be good or bad, bad
    /// responses, timed responses, slow responses.
    pub old: [u32; 5],
    /// The same counts of the new version.
    pub new: [u32; 5],
}

/// A change of a row.
#[derive(Debug, Deserialize, Serialize)]
pub struct Change {
    key: String,
    value: Option<Bytes>,
    /// Number of its position.
    position: u64,
    removed: bool,
}

impl From<Row> for Change {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.map(Bytes::from),
            position: row.position.number,
            removed: row.removed,
        }
    }
}

impl Change {
    /// The row, with its position in an era of the store.
    pub fn into_row(self, era: Era) -> Row {
        Row {
            key: self.key,
            value: self.value.map(Vec::from),
            position: Position {
                era,
                number: self.position,
            },
            removed: self.removed,
        }
    }
}

impl Frame {
    /// Creates a frame with rows of a table.
    pub fn rows(table: u8, update: Update) -> Self {
        Self::Rows {
            table,
            full: update.full,
            position: update.page.position.number,
            era: update.page.position.era,
            rows: update.page.rows.into_iter().map(Change::from).collect(),
        }
    }

    /// Encodes the frame as a WebSocket message.
    pub fn encode(&self) -> Option<Message> {
        let bytes = match self.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = 1712; "cannot encode a frame: {error}");
                return None;
            }
        };
        Some(Message::Binary(bytes.into()))
    }

    fn to_bytes(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(Error::Write)?;
        if bytes.len() < COMPRESSION_THRESHOLD {
            return Ok(bytes);
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes)?;
        let compressed = Self::Compressed(encoder.finish()?.into());
        bytes.clear();
        ciborium::into_writer(&compressed, &mut bytes).map_err(Error::Write)?;
        Ok(bytes)
    }

    /// Decodes a WebSocket message; none when it isn't a valid frame.
    pub fn decode(message: &Message) -> Option<Self> {
        let Message::Binary(bytes) = message else {
            return None;
        };
        match Self::from_bytes(bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!(event = 1717; "cannot decode a frame: {error}");
                None
            }
        }
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let compressed = match ciborium::from_reader(bytes).map_err(Error::Read)? {
            Self::Compressed(compressed) => compressed,
            frame => return Ok(frame),
        };
        let reader = DeflateDecoder::new(compressed.as_ref()).take(MAX_FRAME_BYTES);
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
    Compress(#[from] io::Error),
    #[error("a compressed frame contains another compressed frame")]
    Nested,
}
