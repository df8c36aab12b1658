//! A request to place on a backend server.

use std::hash::{BuildHasher, Hash};

/// Length in bytes of the prompt prefix that is hashed.
const PREFIX_BYTES: usize = 256;

/// A request to place on a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of the prompt prefix; `None` if the request doesn't benefit from a prefix cache.
    pub prefix_hash: Option<u64>,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Backend server that ran the session's previous request.
    pub preferred: Option<&'a str>,
    /// Backend server that has just failed on this request.
    pub avoid: Option<&'a str>,
}

/// Hashes a customer and the prefix of a prompt. The hash is the same on every node.
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

/// Mixes the bits of a hash with the finalizer of SplitMix64.
pub(super) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
