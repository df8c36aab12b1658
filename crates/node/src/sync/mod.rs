//! Configuration and members: read from the table, spread over links, changed by conditional writes.

mod accepted;
mod conflict;
mod error;
mod log;
mod propose;
mod replica;
mod rows;
mod settings;

pub use accepted::{Accepted, InForce};
pub use conflict::Conflict;
pub use error::Error;
pub use replica::Replica;
pub use settings::Settings;
