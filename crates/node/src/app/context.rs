//! Implementation of the contexts that a node's components depend on.

use crate::app::App;
use crate::fleet::Server;
use crate::{bill, slot};
use contract::{Config, NodeId, Revision};
use std::sync::Arc;
use std::time::Instant;
use wire::Frame;

/// Number of nodes that hold copies of this node's bills.
const BILL_COPIES: usize = 2;

impl slot::Context for App {
    fn config(&self) -> Arc<Config> {
        self.replica.config()
    }

    fn servers(&self) -> Arc<Vec<Server>> {
        self.fleet.servers()
    }

    fn is_fresh(&self) -> bool {
        self.replica.may_start(Instant::now()).is_ok()
    }

    fn accepted_revision(&self) -> Revision {
        self.replica.accepted_revision()
    }

    fn send(&self, node: &str, frame: Frame) {
        // The slot protocol requests a lost frame again.
        let _ = self.hub.send(node, frame);
    }
}

impl bill::Context for App {
    fn nodes(&self) -> u32 {
        App::node_count(self)
    }

    fn peers(&self) -> Vec<NodeId> {
        let config = self.replica.config();
        let members: Vec<_> = config.members().cloned().collect();
        bill::choose_peers(&members, &self.settings.node, BILL_COPIES)
    }

    fn send(&self, node: &str, frame: Frame) {
        // Copies are sent again until they are acknowledged.
        let _ = self.hub.send(node, frame);
    }
}
