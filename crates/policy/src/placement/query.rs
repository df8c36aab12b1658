//! What is placed.

use std::hash::{BuildHasher, Hash};

/// Bytes of a prompt whose hash stands for its cached prefix.
const PREFIX_BYTES: usize = 256;

/// What is placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of the prompt's prefix; none when the request gains nothing from a cache.
    pub prefix_hash: Option<u64>,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Backend server that the session was on.
    pub preferred: Option<&'a str>,
    /// Backend server that has just failed at this request.
    pub avoid: Option<&'a str>,
}

/// Hash of the prefix of a prompt, the same on each node.
///
/// ```
/// use policy::placement::prefix_hash;
/// let system = "You draft route plans. ".repeat(20);
/// assert_eq!(prefix_hash("c", &format!("{system}A")), prefix_hash("c", &format!("{system}B")));
/// assert_ne!(prefix_hash("c", &system), prefix_hash("d", &system));
/// ```
pub fn prefix_hash(customer: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    hash((customer, &bytes[..bytes.len().min(PREFIX_BYTES)]))
}

pub(super) fn hash(value: impl Hash) -> u64 {
    mix(rustc_hash::FxBuildHasher.hash_one(value))
}

/// Spreads the bits of a hash, as the finalizer of SplitMix64 does.
pub(super) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
