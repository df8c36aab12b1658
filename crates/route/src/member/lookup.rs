//! Which nodes a caller is told of.

use super::Member;
use crate::pool::{name_hash, rank};
use std::net::SocketAddrV4;

/// How many times as likely a node of the caller's own availability zone is named as another one of
/// the same capacity. Some of other zones are always named: callers go there when theirs is lost.
const OWN_ZONE: f64 = 3.0;

/// A caller's question which nodes it may use.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// Availability zone of the caller, if it tells.
    pub zone: Option<&'a str>,
    /// Number that the draw depends on: the same one gives the same answer.
    pub seed: u64,
    /// Most addresses that the answer may hold.
    pub limit: usize,
}

impl Lookup<'_> {
    /// Addresses of some of these nodes. Each is drawn by what it can carry, so that over many
    /// callers the load of the fleet follows the capacities of its VMs.
    ///
    /// ```
    /// use route::member::{Member, Question};
    /// let member = |index: u8| Member {
    ///     node: format!("n-{index}"),
    ///     zone: "a".into(),
    ///     requests: format!("10.0.0.{index}:80").parse().unwrap(),
    ///     link: format!("10.0.0.{index}:81").parse().unwrap(),
    ///     capacity: 250,
    /// };
    /// let members: Vec<_> = (0..9).map(member).collect();
    /// let question = Question { zone: Some("a"), key: 7, most: 4 };
    /// assert_eq!(question.answer(&members).len(), 4);
    /// ```
    pub fn resolve<'a>(self, members: impl IntoIterator<Item = &'a Member>) -> Vec<SocketAddrV4> {
        let mut drawn: Vec<_> = members
            .into_iter()
            .map(|member| (self.place(member), member.http_address))
            .collect();
        drawn.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
        drawn.truncate(self.limit);
        drawn.into_iter().map(|(_, address)| address).collect()
    }

    /// Place of a node in the draw; the smallest are named. Exponentially distributed with the node's
    /// weight as the rate, which samples by weight without replacement.
    fn place(&self, member: &Member) -> f64 {
        let own = self.zone == Some(member.zone.as_str());
        let weight = f64::from(member.capacity.max(1)) * if own { OWN_ZONE } else { 1.0 };
        let uniform =
            (rank(self.seed, name_hash(&member.node)) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / weight
    }
}
