//! Work on a backend server.

/// Work on a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of these that an engine keeps in memory.
    pub tokens: f64,
    /// What they add to each step of an engine, in times of a model of middle size.
    pub weight: f64,
    /// Tokens of their prompts that an engine has yet to read, as many as a model of middle size would
    /// read in the time.
    pub pending_prefill: f64,
}

impl Load {
    /// The sum of two.
    ///
    /// ```
    /// use route::pool::Load;
    /// let load = Load { requests: 1, tokens: 10.0, weight: 0.3, unread: 3.0 };
    /// assert_eq!(load.plus(load), Load { requests: 2, tokens: 20.0, weight: 0.6, unread: 6.0 });
    /// ```
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            weight: self.weight + other.weight,
            pending_prefill: self.pending_prefill + other.pending_prefill,
        }
    }

    /// What is left without a part.
    pub fn minus(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            tokens: (self.tokens - part.tokens).max(0.0),
            weight: (self.weight - part.weight).max(0.0),
            pending_prefill: (self.pending_prefill - part.pending_prefill).max(0.0),
        }
    }
}
