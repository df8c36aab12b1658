//! Choice of the nodes that carry connections for this one.

use crate::member::Member;
use crate::pool::{name_hash, rank};

/// A search for nodes that carry a connection to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Detour<'a> {
    /// Availability zones that are preferred: those of this node and of the backend server, which cost
    /// no further crossing.
    pub zones: [&'a str; 2],
    /// Random draw, which spreads the connections over the nodes.
    pub draw: u64,
    /// Maximum number of nodes in the result.
    pub limit: usize,
}

impl Detour<'_> {
    /// Returns the nodes to try, in order.
    ///
    /// ```
    /// use route::member::Member;
    /// use route::reach::Detour;
    /// let member = |zone: &str| Member {
    ///     node: format!("n-{zone}"),
    ///     zone: zone.into(),
    ///     http_address: "10.0.0.1:80".parse().unwrap(),
    ///     link_address: "10.0.0.1:81".parse().unwrap(),
    ///     capacity: 250,
    /// };
    /// let members = [member("a"), member("b"), member("c")];
    /// let detour = Detour { zones: ["b", "b"], draw: 7, limit: 2 };
    /// let nodes = detour.resolve(&members);
    /// assert_eq!(nodes.len(), 2);
    /// assert_eq!(nodes[0].node, "n-b");
    /// ```
    pub fn resolve<'a>(&self, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
        let mut nodes: Vec<_> = members.into_iter().collect();
        nodes.sort_by_cached_key(|member| {
            let is_far = !self.zones.contains(&member.zone.as_str());
            (is_far, rank(self.draw, name_hash(&member.node)))
        });
        nodes.truncate(self.limit);
        nodes
    }
}
