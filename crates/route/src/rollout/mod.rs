//! Roll-outs of a service's new version.

mod order;
mod outcome;

pub use order::Order;
pub use outcome::Outcome;
