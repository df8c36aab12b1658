//! Slots of backend servers: this node as a holder and as a home.

mod context;
mod core;
mod frames;
mod hold;
mod probe;
mod slots;

pub use context::Context;
pub use hold::Hold;
pub use slots::Slots;
