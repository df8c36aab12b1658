//! A hash that is stable across builds and nodes, for decisions that nodes must make alike.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a sequence of strings. The result is the same on all nodes and in all builds.
///
/// Each part is terminated by a zero byte, so the boundaries between parts count.
///
/// ```
/// assert_eq!(contract::stable_hash(["a", "b"]), contract::stable_hash(["a", "b"]));
/// assert_ne!(contract::stable_hash(["a", "b"]), contract::stable_hash(["ab", ""]));
/// ```
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0]) {
            hash ^= u64::from(byte);
            hash = hash.wrapping_mul(FNV_PRIME);
        }
    }
    mix(hash)
}

/// Finalizer of splitmix64, needed because FNV-1a alone gives similar names similar hashes.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
