//! What the view asks of whoever drives it.

use contract::NodeId;
use wire::Frame;

/// What the driver should do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a frame on the link to this node.
    Send(NodeId, Frame),
    /// The link to this node is silent: close it and make another.
    Reconnect(NodeId),
}
