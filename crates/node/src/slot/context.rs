//! What slots need from the rest of the node.

use crate::fleet::Server;
use contract::{Config, Revision};
use std::sync::Arc;
use wire::Frame;

/// What slots need from the rest of the node.
pub trait Context: Send + Sync {
    /// The configuration in force here.
    fn config(&self) -> Arc<Config>;

    /// Backend servers as last listed.
    fn servers(&self) -> Arc<Vec<Server>>;

    /// Whether this node's view allows new work now.
    fn is_fresh(&self) -> bool;

    /// Newest revision that a majority of the members before it has acknowledged.
    fn accepted_revision(&self) -> Revision;

    /// Sends a frame to a node; it may be lost.
    fn send(&self, node: &str, frame: Frame);
}
