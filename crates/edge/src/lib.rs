//! An entry node on the operators' platform: callers on one side, backend servers on the other.

pub mod app;
mod backoff;
mod body;
mod directory;
mod error;
pub mod follow;
mod forward;
mod inflight;
pub mod link;
mod listen;
mod membership;
mod metrics;
mod run;
mod shutdown;
mod status;
mod upstream;

pub use error::Error;
pub use run::{Options, options, run};
