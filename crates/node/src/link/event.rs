//! What happens on links, for the one that follows them.

use super::Peer;
use contract::NodeId;
use wire::Frame;

/// Something happened on a link. Events of one link come in their order.
#[derive(Debug)]
pub enum Event {
    /// A link is up. It takes the place of an earlier one to the same node.
    Up(Peer),
    /// The link to a node is down and no other has taken its place.
    Down(NodeId),
    /// A frame of the configuration came in.
    Frame(NodeId, Frame),
}
