//! Stand-ins for the systems around a node, for tests and the demo.
//!
//! Each stand-in is a folder with a `Settings` struct and a `Server` that runs until it is
//! dropped. They speak the published protocols over loopback and keep everything in memory.

pub mod engine;
mod error;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod journal;
pub mod launch;
pub mod objects;
pub mod proxy;
pub mod rating;
pub mod reservation;
pub mod scenario;
pub mod serve;
pub mod site;
pub mod soak;
pub mod table;
pub mod vms;

pub use error::Error;
