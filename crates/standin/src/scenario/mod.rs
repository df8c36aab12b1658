//! Failures made to happen to a fleet under load. Every scenario is checked for all promises.

mod backends;
mod links;
mod list;
mod mixed;
mod nodes;
mod platform;
mod report;
mod stage;
mod versions;
mod zones;

pub use list::{ALL, Scenario, find};
pub use report::{Report, Tally};
pub use stage::Stage;
