//! Which member is the home of a backend server.

use contract::{Member, stable_hash};

/// Home of a backend server: rendezvous hash over the members of its zone, over all members
/// when its zone has none. Members that are leaving count only when there are no others.
///
/// All nodes at one revision find the same home.
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

/// Weight of a member for a backend server; the name breaks ties.
fn weight<'a>(member: &'a Member, backend: &str) -> (u64, &'a str) {
    let hash = stable_hash([member.node.as_str(), backend]);
    (hash, &member.node)
}
