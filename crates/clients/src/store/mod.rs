//! Client of the object store, over the published S3 protocol.

mod client;
mod settings;

pub use client::Client;
pub use settings::Settings;
