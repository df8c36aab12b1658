//! What a node tells on all its links at one time.

use contract::Map;
use route::relay::{Role, Scope};
use tokio_tungstenite::tungstenite::Message;

/// Number of a list of nodes: another one when the list is another.
pub type ListId = u64;

/// What a node tells on all its links at one time, encoded once for all of them.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Beats, by what they say of their link.
    pub heartbeats: Map<Role, Message>,
    /// Whom the node has heard of, by the scope of the words.
    pub presences: Map<Scope, (ListId, Message)>,
}
