//! What a holder tells and asks the home of a backend server.

/// A holder's report and its wish for slots.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Number of the request; it grows with each one.
    pub sequence: u64,
    /// Sequence of the newest grant received.
    pub grant_sequence: u64,
    /// Requests in flight at the backend server.
    pub in_flight: u32,
    /// Slots wished for, those in use included.
    pub wanted: u32,
    /// Requests completed since the holder started.
    pub completed: u64,
    /// Signs of a cold start, back to 0 after a stated time without any.
    pub cold_signals: u64,
}
