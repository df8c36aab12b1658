//! Interface of bills to the rest of the node.

use contract::NodeId;
use wire::Frame;

/// Interface of bills to the rest of the node.
pub trait Context: Send + Sync {
    /// Number of nodes that share the platform's write budget.
    fn nodes(&self) -> u32;

    /// Nodes that hold copies of this node's bills, selected by [`super::choose_peers`].
    fn peers(&self) -> Vec<NodeId>;

    /// Sends a frame to a node. Delivery is not guaranteed.
    fn send(&self, node: &str, frame: Frame);
}
