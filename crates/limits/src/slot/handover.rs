//! State that a home passes on to the next one.

use super::Ramp;
use contract::{Owner, Revision};

/// State that the home of a backend server passes on to the next home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handover {
    /// Revision that made the receiver the home.
    pub fence: Revision,
    /// Current limit of the backend server.
    pub ramp: Ramp,
    /// Slots that holders may occupy.
    pub charges: Vec<Charge>,
}

/// Slots that a holder may occupy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The holder.
    pub owner: Owner,
    /// Sequence number of the newest answered request of the holder.
    pub sequence: u64,
    /// Slots that it may occupy until it confirms a newer grant.
    pub slots: u32,
}
