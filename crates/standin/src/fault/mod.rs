//! Fault injection for stand-ins, controlled over HTTP or in the same process.

mod injector;
mod routes;

pub use injector::{Effect, Fault, Injector, Kind};
pub use routes::routes;
