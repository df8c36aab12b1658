//! Trials of new versions, and demotion of versions whose quality drops.

mod monitor;
mod settings;
mod sprt;

pub use monitor::{Event, Intent, Monitor, Stage};
pub use settings::Settings;
pub use sprt::Sprt;
