//! Concurrency slots of backend servers. This node holds slots and, as the home of some servers,
//! grants them.

mod context;
mod core;
mod frames;
mod guard;
mod probe;
mod slots;

pub use context::Context;
pub use guard::Guard;
pub use slots::Slots;
