//! Dependencies of the slots on the rest of the node.

use crate::fleet::Server;
use contract::{Config, Revision};
use std::sync::Arc;
use wire::Frame;

/// Dependencies of the slots on the rest of the node.
pub trait Context: Send + Sync {
    /// Returns the configuration applied on this node.
    fn config(&self) -> Arc<Config>;

    /// Returns the backend servers of the latest VM list.
    fn servers(&self) -> Arc<Vec<Server>>;

    /// Returns whether the configuration is fresh enough to start new work.
    fn is_fresh(&self) -> bool;

    /// Returns the newest revision that a majority of the preceding members has acknowledged.
    fn accepted_revision(&self) -> Revision;

    /// Sends a frame to a node. The frame may be lost.
    fn send(&self, node: &str, frame: Frame);
}
