//! The history itself.

use super::{
    Bill, Bounds, Change, Interruption, Leaving, Reading, Request, Server, Stop, Violation, check,
};
use crate::journal::Run;
use serde::Serialize;

/// Everything that the checks need to know of a test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// Delays after which intents hold.
    #[serde(skip)]
    pub bounds: Bounds,
    /// What callers sent and got.
    pub requests: Vec<Request>,
    /// What backend servers ran.
    pub runs: Vec<Run>,
    /// What was billed.
    pub bills: Vec<Bill>,
    /// What operators changed, in the order in which it was sent.
    pub changes: Vec<Change>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// Nodes that were killed or cut off.
    pub interruptions: Vec<Interruption>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Backend servers that left.
    pub leavings: Vec<Leaving>,
    /// What nodes said of their configuration.
    pub readings: Vec<Reading>,
}

impl History {
    /// Checks all promises.
    ///
    /// ```
    /// assert!(standin::history::History::default().violations().is_empty());
    /// ```
    pub fn violations(&self) -> Vec<Violation> {
        check::ALL.iter().flat_map(|check| check(self)).collect()
    }
}
