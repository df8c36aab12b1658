//! Backend servers as the platform's list of VMs names them.

mod fleet;
mod listing;
mod server;

pub use fleet::Fleet;
pub use listing::Listing;
pub use server::{Kind, Server};
