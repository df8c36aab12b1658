//! Backend servers as the platform's list of VMs names them.

mod fleet;
mod server;

pub use fleet::Fleet;
pub use server::{Kind, Server};
