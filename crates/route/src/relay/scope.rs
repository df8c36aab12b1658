//! Scope of the reports on a link.

/// The nodes that a node reports on over a link.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Scope {
    /// Only itself; sent to a relay that it is attached to.
    #[default]
    Own,
    /// Itself and the nodes attached to it; sent to another relay.
    Group,
    /// All nodes that it knows of; sent to a node attached to it.
    Fleet,
}
