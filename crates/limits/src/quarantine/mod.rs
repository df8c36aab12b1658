//! Circuit breakers: a failing backend server gets no requests but single probes.

mod breaker;
mod settings;

pub use breaker::{Breaker, State};
pub use settings::Settings;
