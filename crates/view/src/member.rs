//! Members as callers of this node should see them.

use contract::{Incarnation, NodeId, ZoneId};

/// Whether callers and other nodes should use a member.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Heard from within the silence limit.
    Live,
    /// Not heard from for a while: paused, cut off or dead.
    Silent,
    /// It stops: it is given no new work.
    Leaving,
}

/// A member with what this node knows of its life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub node: NodeId,
    /// Number of its start.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub http: String,
    /// Address for other nodes.
    pub link: String,
    /// Whether to use it.
    pub state: State,
}
