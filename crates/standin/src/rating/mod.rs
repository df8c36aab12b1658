//! Rating service: vLLM's score API with qualities that are set by version and task.

mod answer;
mod server;

pub use answer::{Answer, digest, unit_hash};
pub use server::{Quality, Server, Settings};
