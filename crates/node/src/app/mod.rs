//! State that all requests of a node share.

mod app;
mod breakers;
mod components;
mod context;
mod keys;
mod tracker;

pub use app::App;
pub use breakers::Breakers;
pub use components::Components;
pub use keys::Keys;
pub use tracker::{Admission, Tracker};
