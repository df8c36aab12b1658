//! The platform's list of VMs, which lags behind what runs.

mod client;
mod settings;
mod target;
mod vm;

pub use client::Client;
pub use settings::Settings;
pub use vm::{Kind, State, Vm};
