//! Faults that a stand-in can be told to have, over HTTP or in the same process.

mod routes;
mod switch;

pub use routes::routes;
pub use switch::{Effect, Fault, Kind, Switch};
