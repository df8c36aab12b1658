//! Which member is the home of a backend server.

use contract::Member;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Home of a backend server: rendezvous hash over the members of its zone, over all members
/// when its zone has none. Members that are leaving count only when there are no others.
///
/// All nodes at one revision find the same home. The hash is written out here because it must
/// stay the same across builds.
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
    let mut hash = FNV_OFFSET;
    for byte in member.node.bytes().chain([0]).chain(backend.bytes()) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    (mix(hash), &member.node)
}

/// Finalizer of splitmix64: FNV alone leaves similar names close together.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
