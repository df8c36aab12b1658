//! Faults that a stand-in can be told to have, over HTTP or in the same process.

mod injector;
mod routes;

pub use injector::{Effect, Fault, Injector, Kind};
pub use routes::routes;
