//! Table service that implements a subset of DynamoDB's JSON protocol in memory. Operations are
//! linearizable.

mod condition;
mod failure;
mod limiter;
mod message;
mod server;
mod settings;
mod store;

pub use failure::Failure;
pub use limiter::Limiter;
pub use message::{Item, Key, Query, Write};
pub use server::{Server, Stats};
pub use settings::Settings;
pub use store::{Page, Store};
