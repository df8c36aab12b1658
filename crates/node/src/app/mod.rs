//! The tables that all requests of a node share.

mod app;
mod context;
mod keys;
mod parts;
mod quarantine;
mod stay;

pub use app::App;
pub use keys::Keys;
pub use parts::Parts;
pub use quarantine::Quarantine;
pub use stay::{Gate, Stay};
