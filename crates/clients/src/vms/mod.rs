//! Client of the platform's list of VMs. The list is eventually consistent: it lags behind the VMs
//! that actually run.

mod client;
mod settings;
mod target;
mod vm;

pub use client::Client;
pub use settings::Settings;
pub use vm::{Kind, State, Vm};
