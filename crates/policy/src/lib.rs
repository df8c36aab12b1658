//! Routing decisions: quality estimates, plans, roll-outs and placement.
//!
//! The crate reads no clock, takes no lock and does no I/O. Callers pass in the time and a random
//! number generator, and each plan records why it was chosen.

pub mod answer;
mod error;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod quality;
pub mod rollout;

pub use error::Refusal;
