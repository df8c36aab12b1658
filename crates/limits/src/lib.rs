//! What keeps load within bounds: admission, quarantine, retry budgets and spend.
//!
//! Nothing here reads a clock, takes a lock or does I/O.

pub mod admission;
mod error;
pub mod quarantine;
pub mod retry;
pub mod spend;

pub use error::Refusal;
