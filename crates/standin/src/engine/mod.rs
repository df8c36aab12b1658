//! Model engine: the OpenAI API over an imitation of continuous batching, cold starts and crashes.

mod call;
mod order;
mod prefix;
mod run;
mod server;
mod settings;
mod slots;
mod stream;

pub use call::Headers;
pub use order::Order;
pub use prefix::Prefixes;
pub use server::Server;
pub use settings::Settings;
pub use slots::{Admission, Counters, Slots};
