//! An open link to another node.

use super::{Presence, Scope};
use std::time::Instant;

/// Number of a link of this process.
pub type LinkId = u64;

/// What each word of a node says of its link.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Role {
    /// Of whom the word tells.
    pub scope: Scope,
    /// Whether the sender wants to hear of the whole fleet here: it is attached to the receiver.
    pub attached: bool,
    /// Whether the receiver is to pass on the sender's work, which a second relay would count twice.
    pub primary: bool,
}

/// An open link to another node.
#[derive(Clone, Debug)]
pub struct Link {
    /// Its number.
    pub id: LinkId,
    /// Whether this node opened it.
    pub(super) opened: bool,
    /// When a word last came.
    pub(super) heard: Option<Instant>,
    /// What the last word said.
    pub(super) role: Role,
    /// Whom the other node has heard of.
    pub(super) presences: Vec<Presence>,
}
