//! Actions that the view requests of its driver.

use contract::NodeId;
use wire::Frame;

/// An action for the driver to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a frame over the link to this node.
    Send(NodeId, Frame),
    /// Close the unresponsive link to this node and open a new one.
    Reconnect(NodeId),
}
