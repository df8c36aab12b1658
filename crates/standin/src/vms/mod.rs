//! List of live and leaving VMs in the Prometheus HTTP service discovery format, with a
//! configurable delay before changes become visible.

mod list;
mod server;
mod target;

pub use list::List;
pub use server::{Server, Settings};
pub use target::{Labels, Target};
