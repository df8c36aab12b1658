//! The limit of a backend server on its way from cold to warm.

use super::Server;

/// How many requests a backend server may carry at once now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ramp {
    limit: u32,
    completed: u64,
}

impl Ramp {
    /// Starts cold.
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

    /// Goes on where another home has stopped.
    ///
    /// ```
    /// assert_eq!(limits::slot::Ramp::resume(4, 1).limit(), 4);
    /// ```
    pub fn resume(limit: u32, completed: u64) -> Self {
        Self { limit, completed }
    }

    /// Completed requests counted towards the next step.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Counts completed requests; each full count doubles the limit.
    pub fn record_completions(&mut self, server: &Server, requests: u64) {
        self.completed += requests;
        let step = u64::from(server.warm_after.max(1));
        while self.limit < server.slots && self.completed >= step {
            self.completed -= step;
            self.limit = self.limit.max(1).saturating_mul(2).min(server.slots);
        }
        if self.limit >= server.slots {
            self.completed = 0;
        }
    }

    /// Raises the limit to what the server is already carrying.
    pub fn raise_to(&mut self, server: &Server, requests: u32) {
        self.limit = self.limit.max(requests.min(server.slots));
    }

    /// Goes back to cold.
    pub fn reset(&mut self, server: &Server) {
        *self = Self::new(server);
    }

    /// Follows a change of the configuration.
    pub fn cap(&mut self, server: &Server) {
        self.limit = self.limit.min(server.slots);
    }
}
