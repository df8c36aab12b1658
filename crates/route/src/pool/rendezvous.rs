//! Rendezvous hashing: all nodes rank backend servers equally without communication.

/// Returns the weight of a candidate for a key, from the hashes of both. The candidate with the
/// greatest weight is the first choice for the key.
///
/// ```
/// use route::pool::rank;
/// assert_eq!(rank(7, 1), rank(7, 1));
/// assert_ne!(rank(7, 1), rank(7, 2));
/// ```
pub fn rank(key: u64, candidate: u64) -> u64 {
    // Finalizer of splitmix64, applied to the pair.
    let mut hash = key
        ^ candidate
            .rotate_left(32)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
