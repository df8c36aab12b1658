//! Of whom a node tells another one.

/// Of whom a node tells another one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Scope {
    /// Of itself, to a relay that it is attached to.
    #[default]
    Own,
    /// Of itself and those attached to it, to another relay.
    Group,
    /// Of all that it has heard of, to a node that is attached to it.
    Fleet,
}
