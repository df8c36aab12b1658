//! The tables of the store that nodes replicate.

use crate::membership;

/// Nodes that follow the operator's orders in the store; all others learn them from these nodes. A
/// third of the nodes may lose the store at once, and some of these still reach it then.
const INTENT_FOLLOWERS: usize = 6;
/// Nodes that follow the other tables. These change more often, and each change wakes the waiting
/// call of every follower. They are a subset of the nodes that follow the operator's orders.
const FOLLOWERS: usize = 4;

/// A table of the store that nodes replicate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Table {
    /// Orders of the operator.
    Intents,
    /// Backend servers.
    Servers,
    /// Nodes.
    Members,
    /// Statuses that the operator reads back.
    Status,
}

impl Table {
    /// All tables, in the order of their indexes.
    pub const ALL: [Self; 4] = [Self::Intents, Self::Servers, Self::Members, Self::Status];

    /// Name of the table in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Intents => platform::store::INTENTS,
            Self::Servers => platform::store::SERVERS,
            Self::Members => membership::TABLE,
            Self::Status => platform::store::STATUS,
        }
    }

    /// Number of nodes that follow the table.
    pub(super) fn followers(self) -> usize {
        match self {
            Self::Intents => INTENT_FOLLOWERS,
            Self::Servers | Self::Members | Self::Status => FOLLOWERS,
        }
    }

    /// Pauses between two calls of a fallback follower. Calls for one table are enough to detect
    /// that the store is back, so the other tables are polled less often.
    pub(super) fn fallback_pauses(self) -> u32 {
        match self {
            Self::Intents => 1,
            Self::Servers | Self::Members | Self::Status => 4,
        }
    }
}
