//! The sardinebank node, which routes callers' requests to backend servers.

pub mod app;
pub mod bill;
pub mod caller;
pub mod dispatch;
mod drain;
mod error;
pub mod fleet;
mod inbox;
pub mod link;
pub mod metrics;
pub mod operator;
pub mod record;
mod run;
pub mod schedule;
pub mod slot;
mod stop;
pub mod sync;

pub use error::{Code, Error};
pub use run::{Error as RunError, run};
