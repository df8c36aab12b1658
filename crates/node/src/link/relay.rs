//! Deduplication of relayed frames, which reach all nodes of a fleet that is not fully linked.

use contract::{Incarnation, NodeId, Set};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use wire::Relay;

/// Number of relayed frames that are remembered, so that each is forwarded only once.
const MAX_SEEN: usize = 8192;

type RelayId = (NodeId, Incarnation, u64);

#[derive(Debug, Default)]
struct Seen {
    ids: Set<RelayId>,
    order: VecDeque<RelayId>,
}

/// Recently seen relayed frames. No other lock is taken while its lock is held.
#[derive(Debug, Default)]
pub(super) struct Relays {
    seen: Mutex<Seen>,
}

impl Relays {
    /// Records a frame. Returns whether it is new.
    pub(super) fn insert(&self, relay: &Relay) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let id = (relay.node.clone(), relay.incarnation, relay.sequence);
        if !seen.ids.insert(id.clone()) {
            return false;
        }
        seen.order.push_back(id);
        if seen.order.len() > MAX_SEEN
            && let Some(oldest) = seen.order.pop_front()
        {
            seen.ids.remove(&oldest);
        }
        true
    }
}
