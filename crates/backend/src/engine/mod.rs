//! Model engines, over the OpenAI chat completions protocol, always streamed.

mod chat;
mod chunk;
mod client;
mod usage;

pub use chat::Chat;
pub use chunk::Chunk;
pub use client::Engine;
pub use usage::Usage;
