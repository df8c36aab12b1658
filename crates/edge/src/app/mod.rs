//! What the parts of a node share.

mod app;
mod mirror;
mod state;

pub use app::{App, Crash, Stay, Told};
pub use mirror::Mirror;
pub use state::{State, Table, unreadable};
