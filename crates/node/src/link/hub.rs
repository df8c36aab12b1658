//! All links of a node.

use super::{Error, Received, Settings};
use contract::NodeId;
use std::sync::Arc;
use tokio::sync::broadcast;
use wire::Frame;

/// All links of a node. Parts of the node send frames through it and subscribe to what comes in.
#[derive(Debug)]
pub struct Hub {
    received: broadcast::Sender<Arc<Received>>,
}

impl Hub {
    /// Makes a hub without links.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.send("n2", wire::Frame::Fetch(wire::Fetch { after: 0 })).is_err());
    /// ```
    pub fn new(settings: Settings) -> Arc<Self> {
        let received = broadcast::Sender::new(settings.backlog);
        Arc::new(Self { received })
    }

    /// Queues a frame for a node; an error says that it will not arrive. Without an error it may
    /// still be lost with the link.
    pub fn send(&self, to: &str, _frame: Frame) -> Result<(), Error> {
        Err(Error::Unlinked(to.to_owned()))
    }

    /// Queues a frame for each linked node.
    pub fn broadcast(&self, _frame: &Frame) {}

    /// Frames for the parts of the node: slots, ratings, suspects, spend, leave. Frames of the
    /// configuration aren't among them.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.subscribe().try_recv().is_err());
    /// ```
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Received>> {
        self.received.subscribe()
    }

    /// Nodes that are linked now.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.linked().is_empty());
    /// ```
    pub fn linked(&self) -> Vec<NodeId> {
        Vec::new()
    }
}
