//! The links that are up, one for each node.

use super::{Error, Peer};
use bytes::Bytes;
use contract::{Incarnation, Map, NodeId};
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Frames kept for a node while a link to it is made.
const MAX_BUFFERED: usize = 64;

/// Number of a connection; no two are alike in one start of a node.
pub(super) type ConnectionId = u64;

/// One link.
#[derive(Debug)]
pub(super) struct Link {
    pub id: ConnectionId,
    pub incarnation: Incarnation,
    /// Node that made the connection.
    pub dialer: NodeId,
    pub frames: mpsc::Sender<Bytes>,
    pub task: AbortHandle,
    /// When a part other than the configuration last used it.
    pub used: Mutex<Instant>,
}

#[derive(Debug, Default)]
struct Links {
    up: Map<NodeId, Link>,
    /// Nodes that are being called, with the frames that wait for them.
    dialing: Map<NodeId, Vec<Bytes>>,
}

/// The links that are up. While its lock is buffered, only the time of a link is locked.
#[derive(Debug, Default)]
pub(super) struct Table {
    links: RwLock<Links>,
}

impl Table {
    /// Puts a link in its place. Of two to one start of a node, a newer one by the same dialer wins,
    /// else the one that was dialled by the lesser name; both ends choose alike.
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

    /// Removes a connection; says whether it was the link to the node.
    pub(super) fn remove(&self, node: &str, id: ConnectionId) -> bool {
        let mut links = self.write();
        if links.up.get(node).is_none_or(|link| link.id != id) {
            return false;
        }
        links.up.remove(node);
        true
    }

    /// Ends the link to a node.
    pub(super) fn close(&self, node: &str) -> bool {
        let Some(link) = self.write().up.remove(node) else {
            return false;
        };
        link.task.abort();
        true
    }

    /// Whether a connection is the link to the node.
    pub(super) fn is_current(&self, node: &str, id: ConnectionId) -> bool {
        self.read().up.get(node).is_some_and(|link| link.id == id)
    }

    pub(super) fn linked(&self) -> Vec<NodeId> {
        self.read().up.keys().cloned().collect()
    }

    pub(super) fn is_linked(&self, node: &str) -> bool {
        self.read().up.contains_key(node)
    }

    /// Notes that a part other than the configuration uses a link.
    pub(super) fn mark_used(&self, node: &str) {
        if let Some(link) = self.read().up.get(node) {
            *link.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        }
    }

    /// Nodes whose links no other part has used for a while.
    pub(super) fn idle(&self, limit: Duration) -> Vec<NodeId> {
        let is_idle = |link: &Link| {
            let used = link.used.lock().unwrap_or_else(PoisonError::into_inner);
            used.elapsed() > limit
        };
        let links = self.read();
        let idle = links.up.iter().filter(|(_, link)| is_idle(link));
        idle.map(|(node, _)| node.clone()).collect()
    }

    /// Queues a frame on a link that is up.
    pub(super) fn send(&self, to: &str, frame: Bytes) -> Result<(), Error> {
        let links = self.read();
        let link = links.up.get(to);
        let link = link.ok_or_else(|| Error::Unlinked(to.to_owned()))?;
        link.frames
            .try_send(frame)
            .map_err(|_| Error::Full(to.to_owned()))
    }

    /// Queues a frame on all links, but for the one that it came from.
    pub(super) fn broadcast(&self, frame: &Bytes, except: Option<&str>) {
        for (node, link) in &self.read().up {
            if except != Some(node) {
                let _ = link.frames.try_send(frame.clone());
            }
        }
    }

    /// Marks a node as being called; says whether it wasn't before.
    pub(super) fn start_dial(&self, node: &str) -> bool {
        let mut links = self.write();
        if links.up.contains_key(node) || links.dialing.contains_key(node) {
            return false;
        }
        links.dialing.insert(node.to_owned(), Vec::new());
        true
    }

    /// Keeps a frame for a node that is being called.
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
