//! Environment of a node and the bounds that the site sets.

mod bounds;
mod site;

pub use bounds::Bounds;
pub use site::Site;
