//! Load limits: concurrency slots, admission queues, circuit breakers, retry and spend budgets.
//!
//! Callers pass in the time. Nothing here reads a clock, takes a lock or does I/O.

pub mod admission;
mod error;
pub mod poison;
pub mod quarantine;
pub mod retry;
pub mod slot;
pub mod spend;
pub mod suspect;

pub use error::Refusal;
