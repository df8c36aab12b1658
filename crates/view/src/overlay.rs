//! Selection of the nodes that a node links to.

use contract::Member;

/// Number of links to successors on the hash ring. The ring keeps the overlay connected.
const RING_LINKS: usize = 1;

/// Members that a node should connect to: all others if there are at most `fanout`; otherwise its
/// successor on the hash ring and some chosen by rendezvous hashing, together `fanout / 2`. About as
/// many nodes connect to it, so that each node has roughly `fanout` links.
///
/// ```
/// let member = |index: usize| contract::Member {
///     node: format!("n{index}"), zone: "a".into(), incarnation: 1,
///     http: String::new(), link: String::new(), leaving: false,
/// };
/// let seven: Vec<_> = (0..7).map(member).collect();
/// assert_eq!(view::neighbours("n0", seven.iter(), 8).len(), 6);
/// let many: Vec<_> = (0..1100).map(member).collect();
/// assert!(view::neighbours("n0", many.iter(), 8).len() <= 4);
/// ```
pub fn neighbours<'a>(
    me: &str,
    members: impl Iterator<Item = &'a Member>,
    fanout: usize,
) -> Vec<&'a Member> {
    let mut others: Vec<&Member> = members.filter(|member| member.node != me).collect();
    if others.len() <= fanout {
        return others;
    }
    let mine = ring_position(me);
    others.sort_by_cached_key(|member| ring_position(&member.node).wrapping_sub(mine));
    let mut candidates = others.split_off(RING_LINKS);
    candidates.sort_by_cached_key(|member| contract::stable_hash([me, member.node.as_str()]));
    let hashed_links = (fanout / 2).saturating_sub(RING_LINKS);
    others.extend(candidates.into_iter().take(hashed_links));
    others
}

/// Rank of a node among the nodes of a zone. The live node with the greatest rank reads the head for
/// the zone.
pub(crate) fn rank(zone: &str, node: &str) -> u64 {
    contract::stable_hash([zone, node])
}

fn ring_position(node: &str) -> u64 {
    contract::stable_hash([node])
}
