//! A grant of slots.

use contract::Revision;
use std::time::Duration;

/// Slots that a holder may use until the grant expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Sequence number of the request that it answers.
    pub sequence: u64,
    /// Maximum number of requests that the holder may have in flight.
    pub slots: u32,
    /// Lifetime, counted from when the holder sent the request.
    pub ttl: Duration,
    /// Fencing token for the backend server; increases with each change of home.
    pub fence: Revision,
}
