//! What is placed.

use crate::ServerId;

/// A part of a prompt, by the hash of its name.
pub type NameHash = u64;

/// The id of a part, the same on all nodes.
///
/// ```
/// use route::pool::part_id;
/// assert_ne!(part_id("a"), part_id("b"));
/// ```
pub fn name_hash(name: &str) -> NameHash {
    contract::stable_hash([name])
}

/// Parts of a prompt with their tokens, and the tokens of the answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Parts in order with their tokens, shared ones first; the last belongs to the request or its
    /// session.
    pub parts: Vec<(NameHash, f64)>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Tokens that the answer may have.
    pub output_tokens: f64,
    /// Kilobytes of request and answer.
    pub kilobytes: f64,
}

impl Work {
    /// The last part that other requests share, if there is one.
    ///
    /// ```
    /// use route::pool::{Work, part_id};
    /// let parts = vec![(part_id("system"), 9.0), (part_id("own"), 9.0)];
    /// assert_eq!(Work { parts, ..Work::default() }.subject(), Some(part_id("system")));
    /// ```
    pub fn shared_prefix(&self) -> Option<NameHash> {
        let index = self.parts.len().checked_sub(2)?;
        Some(self.parts[index].0)
    }
}

/// What a request asks of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The model to be used, with how many times the smallest one's time it takes.
    pub model: Option<(&'a str, f64)>,
    /// Hash of the model's name.
    pub model_hash: NameHash,
    /// What the request makes an engine read and write.
    pub work: &'a Work,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Backend servers that had the request before.
    pub tried: &'a [ServerId],
    /// Random number by which some backend servers are looked at, of many.
    pub draw: u64,
}
