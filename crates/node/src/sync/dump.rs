//! State of the replica, for operators.

use super::Replica;
use clients::Table;
use contract::{NodeId, Revision};
use serde::Serialize;
use std::time::{Duration, Instant};

/// State of the replica, for debugging.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Newest revision applied on this node.
    pub revision: Revision,
    /// Newest revision known to be accepted.
    pub accepted: Revision,
    /// Whether this incarnation of the node is a member.
    pub joined: bool,
    /// Whether this node polls the head of the log for its zone.
    pub reader: bool,
    /// Whether the configuration is fresh enough to start new work.
    pub serving: bool,
    /// Milliseconds since the latest read of the head, by any node, that this node knows of.
    pub head_age_ms: Option<u64>,
    /// Nodes to which a link is up.
    pub links: Vec<NodeId>,
    /// Bytes of the frames encoded for links since the start.
    pub sent_bytes: u64,
    /// Read calls to the table service since the start.
    pub platform_reads: u64,
    /// Write calls to the table service since the start.
    pub platform_writes: u64,
}

impl<T: Table> Replica<T> {
    /// Returns the state of the replica, for debugging.
    ///
    /// ```
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert!(!replica.dump(std::time::Instant::now()).joined);
    /// ```
    pub fn dump(&self, now: Instant) -> Dump {
        let (platform_reads, platform_writes) = self.platform_calls();
        let view = self.view();
        Dump {
            revision: view.revision(),
            accepted: view.accepted(),
            joined: view.joined(),
            reader: view.is_reader(now),
            serving: view.may_start(now).is_ok(),
            head_age_ms: view.head_read_at().map(|at| millis(now, at)),
            links: self.hub.linked(),
            sent_bytes: self.hub.sent_bytes(),
            platform_reads,
            platform_writes,
        }
    }

    /// Returns the time since the latest read of the head, by any node, that this node knows of.
    ///
    /// ```
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert!(replica.head_age(std::time::Instant::now()).is_none());
    /// ```
    pub fn head_age(&self, now: Instant) -> Option<Duration> {
        let at = self.view().head_read_at()?;
        Some(now.saturating_duration_since(at))
    }
}

fn millis(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}
