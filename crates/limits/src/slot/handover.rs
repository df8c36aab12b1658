//! What one home hands to the next.

use super::Ramp;
use contract::{Owner, Revision};

/// What the home of a backend server knows, for the home that follows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handover {
    /// Revision that made the receiver the home.
    pub fence: Revision,
    /// Limit of the backend server.
    pub ramp: Ramp,
    /// Slots that may be occupied.
    pub charges: Vec<Charge>,
}

/// Slots that a holder may occupy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The holder.
    pub owner: Owner,
    /// Newest request of the holder that was answered.
    pub sequence: u64,
    /// Slots that it may occupy until it confirms a newer grant.
    pub slots: u32,
}
