//! Slots of backend servers: this node as a holder and as a home.

mod context;
mod core;
mod frames;
mod guard;
mod probe;
mod slots;

pub use context::Context;
pub use guard::Guard;
pub use slots::Slots;
