//! The tables that all requests of a node share.

mod app;
mod keys;
mod stay;

pub use app::{App, Parts};
pub use keys::Keys;
pub use stay::{Gate, Stay};
