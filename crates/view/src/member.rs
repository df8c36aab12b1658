//! Members and their state as seen by this node.

use contract::{Incarnation, NodeId, ZoneId};

/// Availability of a member to callers and other nodes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Known to have been running within the timeout.
    Live,
    /// Not known to be running: paused, unreachable or terminated.
    Silent,
    /// Shutting down; receives no new work.
    Leaving,
}

/// A member and its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub http: String,
    /// Address on which it accepts links from other nodes.
    pub link: String,
    /// Its state as seen by this node.
    pub state: State,
}
