//! Client of model engines, which uses the OpenAI chat completions API and always streams.

mod chat;
mod chunk;
mod client;
mod usage;

pub use chat::Chat;
pub use chunk::Chunk;
pub use client::Engine;
pub use usage::Usage;
