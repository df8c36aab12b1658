//! Configuration and members: read from the table, spread over links, changed by conditional writes.
//!
//! The rules are those of [`view::View`]; this module gives it frames, answers of the platform and
//! the time, and carries out what it asks for.

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
