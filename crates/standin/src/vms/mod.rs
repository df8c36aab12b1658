//! List of live and leaving VMs, in the format of Prometheus HTTP service discovery, with a lag.

mod list;
mod server;
mod target;

pub use list::List;
pub use server::{Server, Settings};
pub use target::{Labels, Target};
