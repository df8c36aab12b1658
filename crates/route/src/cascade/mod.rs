//! Which model answers where the caller leaves the choice open.

mod cascade;

pub use cascade::{escalate, first, relative_time};
