//! The tables that all requests of a node share.

mod app;
mod breakers;
mod context;
mod keys;
mod parts;
mod tracker;

pub use app::App;
pub use breakers::Breakers;
pub use keys::Keys;
pub use parts::Parts;
pub use tracker::{Admission, Tracker};
