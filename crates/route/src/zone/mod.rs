//! Decides which requests leave their availability zone.

mod balance;
mod scope;
mod settings;
mod state;

pub use balance::{Balance, Cost, Decision};
pub use scope::Scope;
pub use settings::Settings;
pub use state::State;
