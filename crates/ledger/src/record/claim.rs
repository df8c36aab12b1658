//! Results of claims.

use super::{Outcome, Permit};
use contract::Owner;

/// Result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// This sender runs the call, and no other sender ever will.
    Run(Permit),
    /// Another sender has claimed the call.
    Answer(Answer),
}

/// Known state of a call that another sender has claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It ran with this outcome.
    Finished(Outcome),
    /// Its owner is still working on it.
    InProgress(Owner),
    /// Its owner is gone or has lost the outcome: it may or may not have run, and will not run again.
    Unknown,
}
