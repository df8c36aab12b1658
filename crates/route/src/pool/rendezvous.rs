//! Rendezvous hashing: all nodes rank backend servers alike without exchanging a word.

/// Weight of a backend server for a key; the greatest is the key's first choice.
///
/// ```
/// use route::pool::rank;
/// assert_eq!(rank("part", "a"), rank("part", "a"));
/// assert_ne!(rank("part", "a"), rank("part", "b"));
/// ```
pub fn rank(key: &str, server: &str) -> u64 {
    contract::stable_hash([key, server])
}
