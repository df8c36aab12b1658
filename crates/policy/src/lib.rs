//! Routing decisions: quality estimates, plans, roll-outs and placement.
//!
//! Nothing here reads a clock, takes a lock or does I/O: time and random numbers are passed in, and
//! each decision is a value that can explain itself.

pub mod answer;
mod error;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod quality;
pub mod rollout;

pub use error::Refusal;
