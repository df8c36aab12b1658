//! State of a service's backend servers in one zone.

use crate::pool::Load;

/// State of a service's backend servers in one zone: sums over the servers that take work, or the mean
/// of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Number of servers.
    pub servers: f64,
    /// Their slots.
    pub slots: f64,
    /// Their requests.
    pub requests: f64,
    /// Total weight of these.
    pub weight: f64,
    /// Prompt tokens that they have yet to process.
    pub pending_prefill: f64,
    /// Their rates of failures.
    pub failures: f64,
    /// Their slowness.
    pub slowness: f64,
}

impl State {
    /// Adds a server.
    ///
    /// ```
    /// use route::pool::Load;
    /// use route::zone::State;
    /// let mut state = State::default();
    /// state.add(8, Load { requests: 3, ..Load::default() }, 0.1, 1.0);
    /// assert_eq!((state.servers, state.requests), (1.0, 3.0));
    /// ```
    pub fn add(&mut self, slots: u32, load: Load, failure_rate: f64, slowness: f64) {
        self.servers += 1.0;
        self.slots += f64::from(slots);
        self.requests += f64::from(load.requests);
        self.weight += load.weight;
        self.pending_prefill += load.pending_prefill;
        self.failures += failure_rate;
        self.slowness += slowness;
    }

    /// Returns the mean of one server; zero without servers.
    pub fn mean(&self) -> Self {
        let each = |sum: f64| sum / self.servers.max(1.0);
        Self {
            servers: self.servers.min(1.0),
            slots: each(self.slots),
            requests: each(self.requests),
            weight: each(self.weight),
            pending_prefill: each(self.pending_prefill),
            failures: each(self.failures),
            slowness: each(self.slowness),
        }
    }

    /// Servers at usual speed that would do the work of these.
    pub fn capacity(&self) -> f64 {
        let mean = self.mean();
        self.servers * (1.0 - mean.failures).max(0.0) / mean.slowness.max(1.0)
    }

    /// Returns the sums of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            servers: self.servers + other.servers,
            slots: self.slots + other.slots,
            requests: self.requests + other.requests,
            weight: self.weight + other.weight,
            pending_prefill: self.pending_prefill + other.pending_prefill,
            failures: self.failures + other.failures,
            slowness: self.slowness + other.slowness,
        }
    }

    /// Returns the same servers with other requests, in proportion.
    pub fn with_requests(&self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            weight: self.weight * factor,
            pending_prefill: self.pending_prefill * factor,
            ..*self
        }
    }

    /// Moves the averages towards new sums by a weight between 0 and 1. The number of servers is taken
    /// over at once, and what is learned of a single server scales with it.
    pub(super) fn approach(&mut self, new: &Self, weight: f64) {
        let scale = match self.servers > 0.0 {
            true => new.servers / self.servers,
            false => 0.0,
        };
        let mixed = |old: f64, new: f64| old + weight * (new - old);
        *self = Self {
            servers: new.servers,
            slots: new.slots,
            requests: mixed(self.requests, new.requests),
            weight: mixed(self.weight, new.weight),
            pending_prefill: mixed(self.pending_prefill, new.pending_prefill),
            failures: mixed(self.failures * scale, new.failures),
            slowness: mixed(self.slowness * scale, new.slowness),
        };
    }
}
