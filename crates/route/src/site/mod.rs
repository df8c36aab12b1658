//! Where a node runs and which bounds hold there.

mod bounds;
mod site;

pub use bounds::Bounds;
pub use site::Site;
