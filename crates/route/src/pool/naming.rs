//! What answers of backend servers say of their limits.

use super::{Limit, Pool, Rate, Share, name_hash, rank};
use crate::ServerId;
use std::time::Instant;

/// What an answer of a backend server says of its limit, and when it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct Naming {
    /// The backend server.
    pub server: ServerId,
    /// Which start of it.
    pub started_ms: u64,
    /// Requests per second that it takes from all nodes; none if the limit has ended.
    pub rate: Option<Rate>,
    /// When the answer was received.
    pub at: Instant,
}

impl Pool {
    /// Records what an answer says of a backend server's limit, to this node or another one. Returns
    /// whether the other nodes are to be told: the limit is new, has changed or has ended, or they
    /// were last told a while ago.
    pub fn record_naming(&mut self, now: Instant, naming: &Naming) -> bool {
        let share = naming
            .rate
            .map(|rate| self.limit_share(&naming.server, rate));
        let Some(server) = self.servers.get_mut(&naming.server) else {
            return false;
        };
        if server.listing.started_ms != naming.started_ms {
            return false;
        }
        let (Some(rate), Some(share)) = (naming.rate, share) else {
            let ended = server.limit.take_if(|limit| limit.named() < naming.at);
            return ended.is_some();
        };
        match &mut server.limit {
            Some(limit) if naming.at <= limit.named() => false,
            Some(limit) => {
                let before = limit.rate();
                limit.record_named(naming.at, rate);
                let changed = limit.rate() != before;
                limit.set_share(now, share);
                limit.take_telling(now, changed)
            }
            None => {
                let mut limit = Limit::new(now, naming.at, rate, share);
                limit.take_telling(now, true);
                server.limit = Some(limit);
                true
            }
        }
    }

    /// Records an answer to this node that names no limit; returns whether the server's limit has
    /// ended by it.
    pub fn record_silent_answer(&mut self, now: Instant, id: &str, started_ms: u64) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if server.listing.started_ms != started_ms {
            return false;
        }
        let ended = server
            .limit
            .take_if(|limit| limit.record_silent_answer(now));
        ended.is_some()
    }

    /// Returns the limits that backend servers name.
    pub fn namings(&self) -> impl Iterator<Item = Naming> {
        self.servers.iter().filter_map(|(id, server)| {
            let limit = server.limit()?;
            Some(Naming {
                server: id.clone(),
                started_ms: server.listing.started_ms,
                rate: Some(limit.rate()),
                at: limit.named(),
            })
        })
    }

    /// Divides the limits anew among the nodes.
    pub(super) fn update_limit_shares(&mut self, now: Instant) {
        let limits: Vec<_> = self.namings().collect();
        for naming in limits {
            let share = self.limit_share(&naming.server, naming.rate.unwrap_or_default());
            let server = self.servers.get_mut(&naming.server);
            if let Some(limit) = server.and_then(|server| server.limit.as_mut()) {
                limit.set_share(now, share);
            }
        }
    }

    /// Returns this node's share of a backend server's limit. Rendezvous hashing ranks the nodes.
    fn limit_share(&self, id: &str, limit: Rate) -> Share {
        let server = name_hash(id);
        let own = self.node_hashes.first().copied().unwrap_or_default();
        let before = self
            .node_hashes
            .iter()
            .filter(|node| rank(server, **node) > rank(server, own));
        Share::of(limit, before.count(), self.node_hashes.len())
    }
}
