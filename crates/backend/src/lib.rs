//! Clients of backend servers, which are model engines or plain services.

mod engine;
mod error;
mod pool;
mod service;
mod settings;

pub use engine::{Chat, Chunk, Engine, Usage};
pub use error::{Error, Ran};
pub use pool::Pool;
pub use service::{Call, Reply, Service};
pub use settings::Settings;
