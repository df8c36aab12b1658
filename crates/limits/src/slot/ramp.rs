//! Slow start: the limit of a backend server while it warms up.

use super::Server;

/// Number of requests that a backend server may run at once, raised as it completes requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ramp {
    limit: u32,
    completed: u64,
}

impl Ramp {
    /// Starts at the cold limit.
    ///
    /// ```
    /// use limits::slot::{Ramp, Server};
    /// let server = Server { cold_slots: 1, slots: 4, warm_after: 2, accepts_work: true };
    /// let mut ramp = Ramp::new(&server);
    /// ramp.record_completions(&server, 1);
    /// assert_eq!(ramp.limit(), 1);
    /// ramp.record_completions(&server, 1);
    /// assert_eq!(ramp.limit(), 2);
    /// ramp.reset(&server);
    /// assert_eq!(ramp.limit(), 1);
    /// ```
    pub fn new(server: &Server) -> Self {
        Self {
            limit: server.cold_slots.min(server.slots),
            completed: 0,
        }
    }

    /// Continues from the state of another home.
    ///
    /// ```
    /// assert_eq!(limits::slot::Ramp::resume(4, 1).limit(), 4);
    /// ```
    pub fn resume(limit: u32, completed: u64) -> Self {
        Self { limit, completed }
    }

    /// Completed requests counted towards the next doubling.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Counts completed requests. Every `warm_after` of them double the limit.
    pub fn record_completions(&mut self, server: &Server, requests: u64) {
        self.completed += requests;
        let per_doubling = u64::from(server.warm_after.max(1));
        while self.limit < server.slots && self.completed >= per_doubling {
            self.completed -= per_doubling;
            self.limit = self.limit.max(1).saturating_mul(2).min(server.slots);
        }
        if self.limit >= server.slots {
            self.completed = 0;
        }
    }

    /// Raises the limit to the number of requests that the server already runs.
    pub fn raise_to(&mut self, server: &Server, requests: u32) {
        self.limit = self.limit.max(requests.min(server.slots));
    }

    /// Goes back to the cold limit.
    pub fn reset(&mut self, server: &Server) {
        *self = Self::new(server);
    }

    /// Lowers the limit to a changed number of slots.
    pub fn cap(&mut self, server: &Server) {
        self.limit = self.limit.min(server.slots);
    }
}
