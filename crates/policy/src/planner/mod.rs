//! Planner of one node: learned estimates and roll-out states, combined into plans.

mod dump;
mod outcome;
#[allow(clippy::module_inception)]
mod planner;
mod query;
mod settings;
mod state;
mod task;
mod version;

pub use dump::Row;
pub use outcome::{Decision, Rating, Transition};
pub use planner::Planner;
pub use query::{Offer, Query};
pub use settings::Settings;
