//! Table of the links that are up, one per node.

use super::{Error, Peer};
use bytes::Bytes;
use contract::{Incarnation, Map, NodeId};
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Maximum number of frames buffered for a node while a link to it is being established.
const MAX_BUFFERED: usize = 64;

/// Id of a connection, unique within this process.
pub(super) type ConnectionId = u64;

/// A link to another node.
#[derive(Debug)]
pub(super) struct Link {
    pub id: ConnectionId,
    pub incarnation: Incarnation,
    /// Node that opened the connection.
    pub dialer: NodeId,
    pub frames: mpsc::Sender<Bytes>,
    pub task: AbortHandle,
    /// Time of the last frame other than a configuration frame.
    pub used: Mutex<Instant>,
}

#[derive(Debug, Default)]
struct Links {
    up: Map<NodeId, Link>,
    /// Nodes to which a connection is being opened, with the frames buffered for them.
    dialing: Map<NodeId, Vec<Bytes>>,
}

/// The links that are up. While its lock is held, no lock but a link's `used` is taken.
#[derive(Debug, Default)]
pub(super) struct Table {
    links: RwLock<Links>,
}

impl Table {
    /// Inserts a link and returns whether it is kept. A link to an older incarnation than the
    /// current one is rejected. Of two links to the same incarnation, the newer one wins if both
    /// have the same dialer, else the one whose dialer has the smaller name, so that both ends
    /// keep the same link.
    pub(super) fn insert(&self, peer: &Peer, link: Link) -> bool {
        let mut links = self.write();
        if let Some(old) = links.up.get(&peer.node) {
            let is_older = old.incarnation > link.incarnation;
            let is_same_start = old.incarnation == link.incarnation;
            if is_older || is_same_start && old.dialer < link.dialer {
                return false;
            }
            old.task.abort();
        }
        for frame in links.dialing.remove(&peer.node).unwrap_or_default() {
            let _ = link.frames.try_send(frame);
        }
        links.up.insert(peer.node.clone(), link);
        true
    }

    /// Removes a connection. Returns whether it was the current link to the node.
    pub(super) fn remove(&self, node: &str, id: ConnectionId) -> bool {
        let mut links = self.write();
        if links.up.get(node).is_none_or(|link| link.id != id) {
            return false;
        }
        links.up.remove(node);
        true
    }

    /// Closes the link to a node. Returns whether there was one.
    pub(super) fn close(&self, node: &str) -> bool {
        let Some(link) = self.write().up.remove(node) else {
            return false;
        };
        link.task.abort();
        true
    }

    /// Returns whether a connection is the current link to the node.
    pub(super) fn is_current(&self, node: &str, id: ConnectionId) -> bool {
        self.read().up.get(node).is_some_and(|link| link.id == id)
    }

    pub(super) fn linked(&self) -> Vec<NodeId> {
        self.read().up.keys().cloned().collect()
    }

    pub(super) fn is_linked(&self, node: &str) -> bool {
        self.read().up.contains_key(node)
    }

    /// Records that a link was used for a frame other than a configuration frame.
    pub(super) fn mark_used(&self, node: &str) {
        if let Some(link) = self.read().up.get(node) {
            *link.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        }
    }

    /// Returns the nodes whose links have carried only configuration frames for longer than
    /// `limit`.
    pub(super) fn idle(&self, limit: Duration) -> Vec<NodeId> {
        let is_idle = |link: &Link| {
            let used = link.used.lock().unwrap_or_else(PoisonError::into_inner);
            used.elapsed() > limit
        };
        let links = self.read();
        let idle = links.up.iter().filter(|(_, link)| is_idle(link));
        idle.map(|(node, _)| node.clone()).collect()
    }

    /// Queues a frame on the link to a node.
    pub(super) fn send(&self, to: &str, frame: Bytes) -> Result<(), Error> {
        let links = self.read();
        let link = links.up.get(to);
        let link = link.ok_or_else(|| Error::Unlinked(to.to_owned()))?;
        link.frames
            .try_send(frame)
            .map_err(|_| Error::Full(to.to_owned()))
    }

    /// Queues a frame on all links except the one to `except`.
    pub(super) fn broadcast(&self, frame: &Bytes, except: Option<&str>) {
        for (node, link) in &self.read().up {
            if except != Some(node) {
                let _ = link.frames.try_send(frame.clone());
            }
        }
    }

    /// Marks a node as being dialed. Returns false if it is already linked or being dialed.
    pub(super) fn start_dial(&self, node: &str) -> bool {
        let mut links = self.write();
        if links.up.contains_key(node) || links.dialing.contains_key(node) {
            return false;
        }
        links.dialing.insert(node.to_owned(), Vec::new());
        true
    }

    /// Buffers a frame for a node that is being dialed. Returns whether it was buffered.
    pub(super) fn buffer(&self, node: &str, frame: Bytes) -> bool {
        let mut links = self.write();
        let Some(buffered) = links.dialing.get_mut(node) else {
            return false;
        };
        if buffered.len() >= MAX_BUFFERED {
            return false;
        }
        buffered.push(frame);
        true
    }

    pub(super) fn end_dial(&self, node: &str) {
        self.write().dialing.remove(node);
    }

    fn read(&self) -> RwLockReadGuard<'_, Links> {
        self.links.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Links> {
        self.links.write().unwrap_or_else(PoisonError::into_inner)
    }
}
