//! State of a live node as other nodes report it.

/// State of a live node as a relay reports it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Presence {
    /// Tag of the node.
    pub tag: u32,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it follows the store and the store responds to it.
    pub follows_store: bool,
    /// Whether it reaches backend servers itself.
    pub reaches_servers: bool,
    /// Whether it names the era of the store with the changes that it knows. Nodes of earlier versions
    /// don't, so their changes can't be compared with those of other nodes.
    pub names_era: bool,
}

impl Presence {
    /// Returns the tag of a node: a 32-bit hash of its name, which identifies it in messages.
    ///
    /// ```
    /// use route::relay::Presence;
    /// assert_ne!(Presence::tag("n-1"), Presence::tag("n-2"));
    /// ```
    pub fn tag(node: &str) -> u32 {
        contract::stable_hash([node]) as u32
    }
}
