//! The service that rates answers, over the published score API.

mod client;
mod settings;

pub use client::Client;
pub use settings::Settings;
