//! Frames for the parts of a node.

use contract::{Incarnation, NodeId};
use wire::Frame;

/// A frame with its sender, as proved by the greeting of the link.
#[derive(Clone, Debug)]
pub struct Received {
    /// Sender.
    pub from: NodeId,
    /// Start of the sender.
    pub incarnation: Incarnation,
    /// The frame.
    pub frame: Frame,
}
