//! Selection of the home of a backend server by rendezvous hashing.

use contract::{Member, stable_hash};

/// Selects the home of a backend server by rendezvous hashing over the members of its zone, or over
/// all members if the zone has none. Leaving members are selected only if there are no others.
///
/// All nodes at the same revision select the same home.
///
/// ```
/// use limits::slot::home_of;
/// let member = |node: &str, zone: &str| contract::Member {
///     node: node.into(), zone: zone.into(), incarnation: 1,
///     http: String::new(), link: String::new(), leaving: false,
/// };
/// let members = [member("n1", "a"), member("n2", "b")];
/// assert_eq!(home_of(&members, "b", "10.0.0.9:8000").unwrap().node, "n2");
/// assert!(home_of(&[], "b", "10.0.0.9:8000").is_none());
/// ```
pub fn home_of<'a, I>(members: I, zone: &str, backend: &str) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members.into_iter().max_by_key(|member| {
        (
            !member.leaving,
            member.zone == zone,
            weight(member, backend),
        )
    })
}

/// Weight of a member for a backend server. The node's name breaks ties.
fn weight<'a>(member: &'a Member, backend: &str) -> (u64, &'a str) {
    let hash = stable_hash([member.node.as_str(), backend]);
    (hash, &member.node)
}
