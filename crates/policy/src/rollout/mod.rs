//! Trials of new versions, and demotion of versions that turn bad.

mod settings;
mod test;
mod watch;

pub use settings::Settings;
pub use test::Sprt;
pub use watch::{Event, Intent, Monitor, Stage};
