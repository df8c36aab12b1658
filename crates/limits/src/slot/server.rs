//! Capacity of a backend server.

/// Capacity of a backend server according to the configuration and the list of VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Number of requests that it can run at once during a cold start.
    pub cold_slots: u32,
    /// Number of requests that it can run at once when warm.
    pub slots: u32,
    /// Number of completed requests after which the limit doubles during a cold start.
    pub warm_after: u32,
    /// Whether it may receive new work: it isn't leaving, its zone isn't out and its version isn't
    /// withdrawn.
    pub accepts_work: bool,
}

impl Server {
    /// A server that is at full capacity from the start, such as a plain service.
    ///
    /// ```
    /// let server = limits::slot::Server::without_cold_start(32);
    /// assert_eq!(server.cold_slots, server.slots);
    /// ```
    pub fn without_cold_start(slots: u32) -> Self {
        Self {
            cold_slots: slots,
            slots,
            warm_after: 0,
            accepts_work: true,
        }
    }
}
