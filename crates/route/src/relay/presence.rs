//! What a relay says of one node.

/// What a relay says of one node that it has heard of.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Presence {
    /// Short name of the node.
    pub tag: u32,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it follows the store, and the store answers it.
    pub follows_store: bool,
}

impl Presence {
    /// The short name of a node.
    ///
    /// ```
    /// use route::relay::Presence;
    /// assert_ne!(Presence::tag("n-1"), Presence::tag("n-2"));
    /// ```
    pub fn tag(node: &str) -> u32 {
        contract::stable_hash([node]) as u32
    }
}
