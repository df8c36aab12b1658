//! Events of links.

use super::Peer;
use contract::NodeId;
use wire::Frame;

/// Event of a link. Events of the same link are delivered in order.
#[derive(Debug)]
pub enum Event {
    /// A link is up. It replaces any earlier link to the same node.
    Up(Peer),
    /// The link to a node is down and has not been replaced.
    Down(NodeId),
    /// A configuration frame, or a leave announcement, was received on the link to a node.
    Frame(NodeId, Frame),
}
