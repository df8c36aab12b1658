//! Bills of this node's requests, and copies of other nodes' bills.

mod bills;
mod context;
mod frames;
mod peers;
mod settings;

pub use bills::Bills;
pub use context::Context;
pub use peers::choose_peers;
pub use settings::Settings;
