//! What a backend server can carry.

/// What the configuration and the list of VMs say about a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Requests that it carries at once in cold start.
    pub cold_slots: u32,
    /// Requests that it carries at once when warm.
    pub slots: u32,
    /// Completed requests after which the cold limit doubles.
    pub warm_after: u32,
    /// Whether it may receive new work: not leaving, zone not out, version not withdrawn.
    pub accepts_work: bool,
}

impl Server {
    /// A server that needs no warming up, such as a plain service.
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
