//! Decisions of this node: plans, placement, admission, ratings and budgets.
//!
//! Locks, in the order in which they may be taken, each held for a few lines and never over an await:
//! planner, pools, lanes, one lane, allocations, budgets.

mod baseline;
mod door;
mod exchange;
mod funds;
mod lane;
mod order;
mod pools;
mod rater;
mod scheduler;
mod settings;

pub use door::Door;
pub use funds::{Funds, until_renewal};
pub use lane::{Entry, Pass};
pub(crate) use order::{DEFAULT_DEADLINE, DEFAULT_MAX_TOKENS};
pub use order::{Order, Picked};
pub use pools::Pools;
pub use rater::{Rater, Sample};
pub use scheduler::{Dump, Scheduler};
pub use settings::{Policy, Settings, Unknown};
