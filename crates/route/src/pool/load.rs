//! Load on a backend server.

/// Load on a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Number of their tokens that an engine keeps in memory.
    pub tokens: f64,
    /// Total weight of the requests. A request to a medium-sized model has weight 1, and an engine's
    /// decoding step grows with the total weight.
    pub weight: f64,
    /// Prompt tokens that an engine has yet to process, converted to the number that a medium-sized
    /// model would process in the same time.
    pub pending_prefill: f64,
}

impl Load {
    /// Returns the sum of two loads. The number of requests saturates, since other nodes report it.
    ///
    /// ```
    /// use route::pool::Load;
    /// let load = Load { requests: 1, tokens: 10.0, weight: 0.3, pending_prefill: 3.0 };
    /// let sum = Load { requests: 2, tokens: 20.0, weight: 0.6, pending_prefill: 6.0 };
    /// assert_eq!(load.plus(load), sum);
    /// ```
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            tokens: self.tokens + other.tokens,
            weight: self.weight + other.weight,
            pending_prefill: self.pending_prefill + other.pending_prefill,
        }
    }

    /// Returns the difference of two loads, at least 0.
    pub fn minus(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            tokens: (self.tokens - part.tokens).max(0.0),
            weight: (self.weight - part.weight).max(0.0),
            pending_prefill: (self.pending_prefill - part.pending_prefill).max(0.0),
        }
    }
}
