//! Addresses at which nodes accept links.

use contract::{Config, Map, NodeId};
use std::sync::{PoisonError, RwLock};

/// Link addresses of the members, by node.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    known: RwLock<Map<NodeId, String>>,
}

impl Addresses {
    pub(super) fn replace(&self, config: &Config) {
        let members = config.members();
        let known = members.map(|one| (one.node.clone(), one.link.clone()));
        *self.known.write().unwrap_or_else(PoisonError::into_inner) = known.collect();
    }

    pub(super) fn count(&self) -> usize {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.len()
    }

    pub(super) fn of(&self, node: &str) -> Option<String> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.get(node).cloned()
    }
}
