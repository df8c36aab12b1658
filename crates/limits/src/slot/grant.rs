//! What a home grants.

use contract::Revision;
use std::time::Duration;

/// Slots that a holder may use until the grant expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Sequence of the request that it answers.
    pub sequence: u64,
    /// Requests that the holder may have in flight.
    pub slots: u32,
    /// Lifetime, counted from when the request was sent.
    pub ttl: Duration,
    /// Fencing number for the backend server; it grows with each change of home.
    pub fence: Revision,
}
