//! A node's role in following a table of the store.

use std::time::Duration;

/// A node's role in following a table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It waits for changes from the store.
    Follower,
    /// It learns from other nodes, but none of them reaches the store: it polls the store itself,
    /// after this pause.
    Fallback(Duration),
    /// It learns changes from other nodes.
    Learner,
}
