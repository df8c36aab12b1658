//! What bills need from the rest of the node.

use contract::NodeId;
use wire::Frame;

/// What bills need from the rest of the node.
pub trait Context: Send + Sync {
    /// Nodes that share the platform's write budget.
    fn nodes(&self) -> u32;

    /// Nodes that hold copies of this node's bills, as [`super::choose_peers`] chooses them.
    fn peers(&self) -> Vec<NodeId>;

    /// Sends a frame to a node; it may be lost.
    fn send(&self, node: &str, frame: Frame);
}
