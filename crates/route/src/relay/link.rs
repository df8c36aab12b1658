//! Links to other nodes.

use super::{Presence, Scope};
use std::time::Instant;

/// Number of a link, unique in this process.
pub type LinkId = u64;

/// Role of the sender on a link, sent with each heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Role {
    /// The nodes that the sender reports on.
    pub scope: Scope,
    /// Whether the sender is attached to the receiver and wants the state of the whole fleet.
    pub attached: bool,
    /// Whether the receiver is the sender's primary relay. Only the primary forwards the sender's
    /// load and evidence, so that they aren't counted twice.
    pub primary: bool,
}

/// An open link to another node.
#[derive(Clone, Debug)]
pub struct Link {
    /// Number of the link.
    pub id: LinkId,
    /// Whether this node opened it.
    pub(super) outbound: bool,
    /// When the last heartbeat arrived.
    pub(super) last_heartbeat: Option<Instant>,
    /// Role of the other node as of the last heartbeat.
    pub(super) role: Role,
    /// The last list of nodes from the other node; see [`Link::reported`].
    pub(super) presences: Vec<Presence>,
}

impl Link {
    /// Returns the nodes that the other node reports as alive. A node that is no relay any more sends no
    /// lists, so its last one doesn't count; it counts again, unchanged, if the node becomes a relay again
    /// and doesn't send another.
    pub(super) fn reported(&self) -> &[Presence] {
        match self.role.scope {
            Scope::Own => &[],
            Scope::Group | Scope::Fleet => &self.presences,
        }
    }
}
