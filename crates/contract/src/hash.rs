//! A hash that is the same in all builds, for choices that nodes must agree on.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of texts in their order; the same on all nodes and in all builds.
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

/// Finalizer of splitmix64: FNV alone leaves similar names close together.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
