//! Trials of new versions, and demotion of versions that turn bad.

mod monitor;
mod settings;
mod sprt;

pub use monitor::{Event, Intent, Monitor, Stage};
pub use settings::Settings;
pub use sprt::Sprt;
