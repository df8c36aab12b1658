//! A node's view of configuration and members.

mod error;
mod member;
mod settings;

pub use error::Stale;
pub use member::{Member, State};
pub use settings::Settings;
