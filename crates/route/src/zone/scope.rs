//! Zones whose backend servers a request may use.

use crate::Zone;

/// Zones whose backend servers are sampled for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Scope {
    /// All zones alike.
    All,
    /// The node's own zone.
    Own,
    /// The zones to which leaving the own one pays.
    Others(Vec<Zone>),
}

impl Scope {
    /// Creates the scope of some zones, or of all if there are none.
    pub(super) fn others<'a>(zones: impl Iterator<Item = &'a Zone>) -> Self {
        let zones: Vec<_> = zones.cloned().collect();
        match zones.is_empty() {
            true => Self::All,
            false => Self::Others(zones),
        }
    }

    /// Whether the servers of a zone are sampled; `own` is the zone of the node.
    ///
    /// ```
    /// use route::zone::Scope;
    /// assert!(Scope::Own.includes("a", "a"));
    /// assert!(!Scope::Own.includes("b", "a"));
    /// assert!(!Scope::Others(vec!["b".to_owned()]).includes("a", "a"));
    /// ```
    pub fn includes(&self, zone: &str, own: &str) -> bool {
        match self {
            Self::All => true,
            Self::Own => zone == own,
            Self::Others(zones) => zones.iter().any(|other| other == zone),
        }
    }
}
