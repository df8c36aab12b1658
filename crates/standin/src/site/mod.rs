//! Stand-ins of the operators' platform: its store, its backend servers, and nodes as processes.

mod fault;
mod node;
mod path;
mod peer;
mod plain;
mod site;
mod store;
mod wire;
mod worker;

pub use fault::{StoreFault, WorkerFault};
pub use node::Node;
pub use path::{Cut, Path};
pub use peer::Peer;
pub use site::{Settings, Site, config};
pub use store::{Copy, Store};
pub use wire::Request;
pub use worker::{Run, Worker};
