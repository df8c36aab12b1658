//! Which model answers where the caller leaves the choice open.

mod size;

pub use size::{escalate, first, pace};
