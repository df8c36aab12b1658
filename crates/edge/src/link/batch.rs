//! Frames that a node sends on all its links at one time.

use contract::Map;
use route::relay::{ListId, Role, Scope};
use tokio_tungstenite::tungstenite::Message;

/// Frames that a node sends on all its links at one time, encoded once for all of them.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Heartbeats, by the role of the link.
    pub heartbeats: Map<Role, Message>,
    /// Lists of nodes that this node knows to be alive, by scope.
    pub presences: Map<Scope, (ListId, Message)>,
}
