//! Names of the promises.

use serde::Serialize;
use std::fmt;

/// One of the twelve points that must always hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request runs only on a version that its customer's contract allows.
    Allowed,
    /// A withdrawn version receives no new work.
    Withdrawn,
    /// A session keeps its version.
    Session,
    /// Each request is billed once.
    BilledOnce,
    /// A backend server in cold start receives no more than it can bear.
    ColdStart,
    /// An availability zone that is out receives no new work.
    ZoneOut,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work.
    Leaving,
    /// A planned stop cuts no request.
    PlannedStop,
    /// An accepted configuration is in force everywhere and never reverts.
    InForce,
}

impl Promise {
    /// All promises, in the order of the brief.
    pub const ALL: [Self; 12] = [
        Self::Allowed,
        Self::Withdrawn,
        Self::Session,
        Self::BilledOnce,
        Self::ColdStart,
        Self::ZoneOut,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::PlannedStop,
        Self::InForce,
    ];
}

/// A promise that didn't hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.detail)
    }
}
