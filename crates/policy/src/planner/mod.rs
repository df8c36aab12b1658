//! One node's knowledge, put together for plans.

mod dump;
mod knowledge;
mod learned;
mod outcome;
#[allow(clippy::module_inception)]
mod planner;
mod query;
mod settings;

pub use dump::Row;
pub use outcome::{Decision, Rating, Transition};
pub use planner::Planner;
pub use query::{Offer, Query};
pub use settings::Settings;
