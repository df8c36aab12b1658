//! Entry node of the operators' platform: accepts requests from callers and forwards them to backend
//! servers.

pub mod app;
mod backoff;
mod bind;
mod body;
mod closer;
mod connect;
mod directory;
mod error;
mod explain;
pub mod follow;
mod forward;
mod inflight;
pub mod link;
mod listen;
mod membership;
pub mod memory;
mod metrics;
pub mod pause;
mod run;
mod shutdown;
pub mod socket;
mod status;
pub mod stream;
pub mod supervise;
pub mod tunnel;
mod upstream;

pub use error::Error;
pub use run::{Options, options, run};
