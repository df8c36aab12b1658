//! Errors of planning.

use contract::{Micros, ModelId, VersionId};
use serde::Serialize;

/// Reason for refusing a request before it is sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The cheapest plan costs more than the remaining budget.
    #[error("the budget has {left} micro-units left and the cheapest plan costs {cheapest}")]
    Budget {
        /// Remaining budget in micro-units of money.
        left: Micros,
        /// Expected cost of the cheapest plan in micro-units of money.
        cheapest: Micros,
    },
    /// The contract allows none of the offered versions.
    #[error("the contract allows no version that is offered")]
    Forbidden,
    /// The session's version is withdrawn or no longer allowed.
    #[error("the session's version {model}@{version} is no longer offered")]
    Session {
        /// Model of the session.
        model: ModelId,
        /// Version of the session.
        version: VersionId,
    },
    /// None of the allowed versions has a backend server that accepts requests.
    #[error("no allowed version has a backend server that takes requests")]
    Unavailable,
}
