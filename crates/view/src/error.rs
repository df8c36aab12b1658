//! Why a node may not start new work.

/// The configuration isn't proved to be current: neither the platform nor a majority of members
/// has confirmed it within the horizon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("revision {revision} isn't confirmed within the horizon")]
pub struct Stale {
    /// Revision that this node has applied.
    pub revision: contract::Revision,
}

/// A revision has to be accepted before another may follow it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("revision {revision} has to be accepted first")]
pub struct Pending {
    /// Revision that is waited for.
    pub revision: contract::Revision,
}
