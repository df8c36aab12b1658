//! Where a request runs: the backend servers, what is known of their load, and the choice.

mod cold;
mod error;
mod pool;
mod query;
mod rendezvous;
mod server;
mod settings;

pub use cold::Ramp;
pub use error::Refusal;
pub use pool::Pool;
pub use query::{Query, Work};
pub use rendezvous::rank;
pub use server::{Outcome, Server};
pub use settings::Settings;
