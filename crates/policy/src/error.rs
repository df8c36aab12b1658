//! Why a request gets no plan.

use contract::{Micros, ModelId, VersionId};
use serde::Serialize;

/// Why a request is refused before anything runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The cheapest plan costs more than what is left of the budget.
    #[error("the budget has {left} micro-units left and the cheapest plan costs {cheapest}")]
    Budget {
        /// What is left in micro-units of money.
        left: Micros,
        /// Expected cost of the cheapest plan in micro-units of money.
        cheapest: Micros,
    },
    /// The contract allows no version that is still offered.
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
    /// No allowed version has a backend server that takes requests.
    #[error("no allowed version has a backend server that takes requests")]
    Unavailable,
}
