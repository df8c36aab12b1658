//! Scheduling of requests: plans, placement, admission, ratings and budgets.
//!
//! Lock order: planner, pools, limiters, a single limiter, allocations, retry and hedge budgets.
//! Each lock is held for a few lines and never across an await.

mod baseline;
mod budgets;
mod exchange;
mod limiter;
mod pools;
mod queues;
mod rater;
mod requirements;
mod scheduler;
mod selection;
mod settings;

pub use budgets::{Budgets, until_renewal};
pub use limiter::{Arrival, Permit};
pub use pools::Pools;
pub use queues::Queues;
pub use rater::{Rater, Sample};
pub use requirements::Requirements;
pub(crate) use requirements::{DEFAULT_DEADLINE, DEFAULT_MAX_TOKENS};
pub use scheduler::{Dump, Scheduler};
pub use selection::Selection;
pub use settings::{Policy, Settings, Unknown};
