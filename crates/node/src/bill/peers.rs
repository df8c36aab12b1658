//! Which nodes hold copies of a node's bills.

use contract::{Member, NodeId};

/// The next members in the order of names, first those of other zones, each zone once.
///
/// ```
/// let member = |node: &str, zone: &str| contract::Member {
///     node: node.into(), zone: zone.into(), incarnation: 1,
///     http: String::new(), link: String::new(), leaving: false,
/// };
/// let members = [member("n1", "a"), member("n2", "a"), member("n3", "b"), member("n4", "c")];
/// assert_eq!(node::bill::choose_peers(&members, "n1", 2), ["n3", "n4"]);
/// assert_eq!(node::bill::choose_peers(&members, "n1", 9).len(), 3);
/// ```
pub fn choose_peers<'a, I>(members: I, own: &str, count: usize) -> Vec<NodeId>
where
    I: IntoIterator<Item = &'a Member>,
{
    let mut members: Vec<_> = members.into_iter().collect();
    // Successors of the own name come first, so that copies spread over all nodes.
    members.sort_by_key(|one| (one.node.as_str() <= own, &one.node));
    let zone = members
        .iter()
        .find(|one| one.node == own)
        .map(|one| &one.zone);
    let mut seen: Vec<_> = zone.into_iter().collect();
    let mut first = Vec::new();
    let mut rest = Vec::new();
    for member in members.iter().filter(|one| one.node != own && !one.leaving) {
        if seen.contains(&&member.zone) {
            rest.push(member.node.clone());
            continue;
        }
        seen.push(&member.zone);
        first.push(member.node.clone());
    }
    first.extend(rest);
    first.truncate(count);
    first
}
