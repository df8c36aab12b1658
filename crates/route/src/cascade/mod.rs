//! Choice of the model where the caller leaves it open: a cascade from small to large.

mod cascade;

pub use cascade::{escalate, first, relative_time};
