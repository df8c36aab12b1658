//! What the sender of a key is told.

use super::{Outcome, Permit};
use contract::Owner;

/// Answer to a claim.
#[derive(Debug)]
pub enum Claim {
    /// This sender runs the call, and nobody else ever will.
    Run(Permit),
    /// The call is another sender's.
    Answer(Answer),
}

/// What is known of a call that another sender claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It ran; this was the outcome.
    Finished(Outcome),
    /// Its owner still works on it.
    InProgress(Owner),
    /// Its owner is gone: it may or may not have run, and never runs again.
    Unknown,
}
