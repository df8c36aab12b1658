//! What operators asked for.

use serde::Serialize;
use std::time::Duration;

/// A change of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// Its id.
    pub id: String,
    /// What it intends.
    pub intent: Intent,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When it was known to be accepted.
    pub accepted_ms: Option<u64>,
    /// When it was reported to be in force.
    pub in_force_ms: Option<u64>,
    /// Revision that it made.
    pub revision: Option<u64>,
    /// Whether it certainly had no effect.
    pub rejected: bool,
}

/// What a change intends.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// The models and versions that a customer may use from now on.
    Allow {
        /// Customer.
        customer: String,
        /// Models (`large`) and versions (`small@1`).
        models: Vec<String>,
    },
    /// A version receives no new work, or does again.
    Withdraw {
        /// `model@version`.
        served: String,
        /// False lifts the withdrawal.
        out: bool,
    },
    /// An availability zone receives no new work, or does again.
    Zone {
        /// Name of the zone.
        zone: String,
        /// False brings it back.
        out: bool,
    },
    /// Anything else.
    Other,
}

impl Change {
    /// When the change must hold everywhere, once it is accepted.
    pub fn holds_from(&self, bound: Duration, flight: Duration) -> Option<u64> {
        let latest = self.accepted_ms? + bound.as_millis() as u64;
        let reported = self.in_force_ms.map(|at| at + flight.as_millis() as u64);
        Some(reported.map_or(latest, |reported| reported.min(latest)))
    }
}
