//! Which nodes a node keeps links to.

use contract::Member;

/// Links that a node keeps to the next nodes on the ring, so that the overlay is connected.
const RING_LINKS: usize = 1;

/// Members that a node should call: all others while they are few; else the next on a ring and
/// some picked by rendezvous hash. About as many call it, so the links of a node are near `fanout`.
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
    let mine = place(me);
    others.sort_by_cached_key(|member| place(&member.node).wrapping_sub(mine));
    let mut picks = others.split_off(RING_LINKS);
    picks.sort_by_cached_key(|member| contract::stable_hash([me, member.node.as_str()]));
    let picked = (fanout / 2).saturating_sub(RING_LINKS);
    others.extend(picks.into_iter().take(picked));
    others
}

/// Rank of a node among those that may read the head for a zone; the greatest does.
pub(crate) fn rank(zone: &str, node: &str) -> u64 {
    contract::stable_hash([zone, node])
}

fn place(node: &str) -> u64 {
    contract::stable_hash([node])
}
