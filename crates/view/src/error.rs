//! Reasons why a view refuses new work or a change.

/// The configuration isn't known to be current: it was confirmed neither by the platform nor by a
/// majority of the members within the horizon.
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
    /// Revision that has yet to be accepted.
    pub revision: contract::Revision,
}
