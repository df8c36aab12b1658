//! A holder's report and request for slots.

/// A holder's report to the home of a backend server, together with its request for slots.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Sequence number; increases with each request.
    pub sequence: u64,
    /// Sequence number of the newest grant received, which the holder now uses.
    pub grant_sequence: u64,
    /// Requests in flight at the backend server.
    pub in_flight: u32,
    /// Number of slots wanted, including those in use.
    pub wanted: u32,
    /// Number of requests completed since the holder started.
    pub completed: u64,
    /// Number of cold-start signals; reset to 0 after `Settings::max_run_time` without any.
    pub cold_signals: u64,
}
