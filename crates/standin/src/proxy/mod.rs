//! Fault-injecting TCP proxy between any two parties.

mod faults;
mod forwarder;
mod server;

pub use faults::{Faults, Impairment};
pub use server::{Proxy, Settings};
