//! How a node takes part in following a table of the store.

use std::time::Duration;

/// How a node takes part in following a table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It asks the store for changes.
    Follower,
    /// It learns from other nodes, but none of them hears the store: it asks after this pause.
    Fallback(Duration),
    /// It learns from other nodes.
    Learner,
}
