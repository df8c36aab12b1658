//! Why a request isn't let in. It has not run.

use contract::Micros;
use serde::Serialize;
use std::time::Duration;

/// Why a request isn't let in. It has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue is full of requests that go first.
    #[error("the queue is full")]
    Full {
        /// Time after which a retry may find room.
        retry_after: Duration,
    },
    /// The answer would come after the deadline.
    #[error("the answer is expected {late:?} after the deadline")]
    Late {
        /// Expected time by which the answer misses the deadline.
        late: Duration,
        /// Time after which a retry may find room.
        retry_after: Duration,
    },
    /// The budget of the period is used up.
    #[error("the budget of this period is used up")]
    Spent {
        /// What is left of the budget in micro-units of money.
        left: Micros,
    },
    /// This node holds no share of the budget, and the platform gives it none now.
    #[error("this node holds no share of the budget")]
    Unfunded,
}
