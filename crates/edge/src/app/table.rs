//! The tables of the store that nodes copy.

use crate::membership;

/// Nodes that follow what the operator asks for; the others learn from them. A third of the nodes
/// may lose the store at once, and then some of these still have it.
const INTENT_FOLLOWERS: usize = 6;
/// Nodes that follow the other tables, which change more often: each change answers all of them.
/// They are among those that follow what the operator asks for.
const FOLLOWERS: usize = 4;

/// A table of the store that nodes copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Table {
    /// What the operator asks for.
    Intents,
    /// The backend servers.
    Servers,
    /// The nodes.
    Members,
    /// What the operator reads back.
    Status,
}

impl Table {
    /// All of them.
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

    /// Nodes that follow it, of all that live.
    pub(super) fn followers(self) -> usize {
        match self {
            Self::Intents => INTENT_FOLLOWERS,
            Self::Servers | Self::Members | Self::Status => FOLLOWERS,
        }
    }

    /// Pauses between two calls of a node that stands in for them: one table finds the store.
    pub(super) fn fallback_pauses(self) -> u32 {
        match self {
            Self::Intents => 1,
            Self::Servers | Self::Members | Self::Status => 4,
        }
    }
}
