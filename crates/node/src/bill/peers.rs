//! Selection of the nodes that hold copies of a node's bills.

use contract::{Member, NodeId};

/// Selects up to `count` members in the order of names, starting after the own name. The first member
/// of each other zone comes first, then all remaining members. Members that are leaving are skipped.
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
    // Starting after the own name spreads the copies over all nodes.
    members.sort_by_key(|member| (member.node.as_str() <= own, &member.node));
    let own_zone = members
        .iter()
        .find(|member| member.node == own)
        .map(|member| &member.zone);
    let mut seen_zones: Vec<_> = own_zone.into_iter().collect();
    let mut selected = Vec::new();
    let mut rest = Vec::new();
    for member in members
        .iter()
        .filter(|member| member.node != own && !member.leaving)
    {
        if seen_zones.contains(&&member.zone) {
            rest.push(member.node.clone());
            continue;
        }
        seen_zones.push(&member.zone);
        selected.push(member.node.clone());
    }
    selected.extend(rest);
    selected.truncate(count);
    selected
}
