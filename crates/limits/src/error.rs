//! Reasons for which a request is not admitted.

use contract::Micros;
use serde::Serialize;
use std::time::Duration;

/// Why a request was not admitted. A refused request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue is full of requests that take precedence.
    #[error("the queue is full")]
    Full {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
    /// The answer is expected after the deadline.
    #[error("the answer is expected {late:?} after the deadline")]
    Late {
        /// Time by which the answer is expected to miss the deadline.
        late: Duration,
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
    /// The budget of the period is exhausted.
    #[error("the budget of this period is used up")]
    Spent {
        /// Remaining budget in micro-units of money.
        left: Micros,
    },
    /// This node has no share of the budget left, and has not obtained a new one from the table
    /// service.
    #[error("this node holds no share of the budget")]
    Unfunded,
}
