//! Frames received from other nodes.

use contract::{Incarnation, NodeId};
use wire::Frame;

/// A frame with its sender. The sender was proved in the handshake of the link, or is named by the
/// relay frame that carried this one.
#[derive(Clone, Debug)]
pub struct Received {
    /// Node that sent it.
    pub from: NodeId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Content.
    pub frame: Frame,
}
