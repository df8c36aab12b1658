//! What the replica shows to operators.

use super::Replica;
use clients::Table;
use contract::{NodeId, Revision};
use serde::Serialize;
use std::time::{Duration, Instant};

/// State of the replica for the search of faults.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Newest revision applied here.
    pub revision: Revision,
    /// Greatest revision known to be accepted.
    pub accepted: Revision,
    /// Whether this start of the node is a member.
    pub joined: bool,
    /// Whether this node reads the head for its zone.
    pub reader: bool,
    /// Whether new work may start.
    pub serving: bool,
    /// Milliseconds since the newest read of the head that is known here.
    pub head_age_ms: Option<u64>,
    /// Nodes with a link.
    pub links: Vec<NodeId>,
    /// Bytes of frames sent on links.
    pub sent_bytes: u64,
    /// Calls of the table service that read.
    pub platform_reads: u64,
    /// Calls of the table service that write.
    pub platform_writes: u64,
}

impl<T: Table> Replica<T> {
    /// State for the search of faults.
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

    /// Time since the newest read of the head that is known here.
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
