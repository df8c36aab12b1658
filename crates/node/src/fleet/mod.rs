//! Backend servers on the platform's VM list.

mod fleet;
mod listing;
mod server;

pub use fleet::Fleet;
pub use listing::Listing;
pub use server::{Kind, Server};
