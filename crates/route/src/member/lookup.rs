//! Selection of the node addresses that a caller receives.

use super::Member;
use crate::pool::{name_hash, rank};
use std::net::SocketAddrV4;

/// Factor on the weight of nodes in the caller's own availability zone. Nodes of other zones are
/// always included as well, so that callers can fail over when their own zone is lost.
const SAME_ZONE_FACTOR: f64 = 3.0;

/// A caller's lookup of the nodes that it may use.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// Availability zone of the caller, if known.
    pub zone: Option<&'a str>,
    /// Seed of the sample: equal seeds give equal results.
    pub seed: u64,
    /// Maximum number of addresses in the result.
    pub limit: usize,
}

impl Lookup<'_> {
    /// Returns the addresses of a weighted sample of the nodes. The weight of a node is its capacity,
    /// so that over many callers the load follows the capacities of the VMs.
    ///
    /// ```
    /// use route::member::{Lookup, Member};
    /// let member = |index: u8| Member {
    ///     node: format!("n-{index}"),
    ///     zone: "a".into(),
    ///     http_address: format!("10.0.0.{index}:80").parse().unwrap(),
    ///     link_address: format!("10.0.0.{index}:81").parse().unwrap(),
    ///     capacity: 250,
    /// };
    /// let members: Vec<_> = (0..9).map(member).collect();
    /// let lookup = Lookup { zone: Some("a"), seed: 7, limit: 4 };
    /// assert_eq!(lookup.resolve(&members).len(), 4);
    /// ```
    pub fn resolve<'a>(self, members: impl IntoIterator<Item = &'a Member>) -> Vec<SocketAddrV4> {
        let mut drawn: Vec<_> = members
            .into_iter()
            .map(|member| (self.sample_key(member), member.http_address))
            .collect();
        drawn.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
        drawn.truncate(self.limit);
        drawn.into_iter().map(|(_, address)| address).collect()
    }

    /// Sort key of a node; the nodes with the smallest keys are returned. It is exponentially
    /// distributed with the node's weight as the rate, which gives a weighted sample without
    /// replacement.
    fn sample_key(&self, member: &Member) -> f64 {
        let own = self.zone == Some(member.zone.as_str());
        let weight = f64::from(member.capacity.max(1)) * if own { SAME_ZONE_FACTOR } else { 1.0 };
        let uniform =
            (rank(self.seed, name_hash(&member.node)) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / weight
    }
}
