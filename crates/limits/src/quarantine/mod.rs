//! Backend servers that fail are left alone and probed.

mod breaker;
mod settings;

pub use breaker::{Breaker, State};
pub use settings::Settings;
