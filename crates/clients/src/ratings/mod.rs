//! Client of the service that rates model answers, over its published score API.

mod client;
mod settings;

pub use client::Client;
pub use settings::Settings;
