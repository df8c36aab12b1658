//! Replication of the configuration and membership. Nodes read them from the table, exchange them
//! over links, and change them by conditional writes.
//!
//! [`view::View`] holds the protocol; this module feeds it frames, platform responses and the time,
//! and performs the actions it returns.

mod accepted;
mod catch_up;
mod conflict;
mod dump;
mod error;
mod events;
mod lease;
mod log;
mod membership;
mod progress;
mod propose;
mod replica;
mod rows;
mod settings;
mod sweep;

pub use accepted::Accepted;
pub use conflict::Conflict;
pub use dump::Dump;
pub use error::Error;
pub use progress::Progress;
pub use replica::Replica;
pub use settings::Settings;
