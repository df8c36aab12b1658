//! What the parts of a node share.

mod app;
mod mirror;
mod state;

pub use app::{App, Stay};
pub use mirror::Mirror;
pub use state::{State, Table};
