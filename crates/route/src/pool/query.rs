//! Requests to be placed.

use crate::ServerId;

/// 64-bit hash of a name: of a part of a prompt, a model, a node or a backend server.
pub type NameHash = u64;

/// Returns the hash of a name; it is the same on all nodes.
///
/// ```
/// use route::pool::name_hash;
/// assert_ne!(name_hash("a"), name_hash("b"));
/// ```
pub fn name_hash(name: &str) -> NameHash {
    contract::stable_hash([name])
}

/// Size of a request: its prompt, its answer and the bytes on the network.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Parts of the prompt in order, with their numbers of tokens. Parts shared with other requests
    /// come first; the last part belongs to the request or its session.
    pub parts: Vec<(NameHash, f64)>,
    /// Number of tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Expected number of tokens of the answer, or the maximum where no estimate is known.
    pub output_tokens: f64,
    /// Kilobytes of the request and the answer.
    pub kilobytes: f64,
}

impl Work {
    /// Returns the parts that other requests may share: all but the last.
    ///
    /// ```
    /// use route::pool::{Work, name_hash};
    /// let parts = vec![(name_hash("system"), 9.0), (name_hash("own"), 9.0)];
    /// let work = Work { parts, ..Work::default() };
    /// assert!(work.shared_parts().eq([name_hash("system")]));
    /// ```
    pub fn shared_parts(&self) -> impl Iterator<Item = NameHash> {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|(part, _)| *part)
    }

    /// Returns the number of tokens of the parts that other requests may share.
    ///
    /// ```
    /// use route::pool::{Work, name_hash};
    /// let parts = vec![(name_hash("system"), 9.0), (name_hash("own"), 5.0)];
    /// let work = Work { parts, ..Work::default() };
    /// assert_eq!(work.shared_tokens(), 9.0);
    /// ```
    pub fn shared_tokens(&self) -> f64 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|(_, tokens)| tokens).sum()
    }

    /// Returns the last part that is shared with other requests, if any.
    ///
    /// ```
    /// use route::pool::{Work, name_hash};
    /// let parts = vec![(name_hash("system"), 9.0), (name_hash("own"), 9.0)];
    /// let work = Work { parts, ..Work::default() };
    /// assert_eq!(work.shared_prefix(), Some(name_hash("system")));
    /// ```
    pub fn shared_prefix(&self) -> Option<NameHash> {
        let index = self.parts.len().checked_sub(2)?;
        Some(self.parts[index].0)
    }
}

/// A request for which a backend server is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The model to use, with its time in relation to a medium-sized one.
    pub model: Option<(&'a str, f64)>,
    /// Hash of the model's name.
    pub model_hash: NameHash,
    /// Size of the request.
    pub work: &'a Work,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Backend servers that the request was already sent to.
    pub tried: &'a [ServerId],
    /// Random number that selects the sample of backend servers to consider.
    pub draw: u64,
}
