//! Rating service that implements vLLM's score API. Answer quality can be set per version and task.

mod answer;
mod server;

pub use answer::{Answer, digest, unit_hash};
pub use server::{Quality, Server, Settings};
