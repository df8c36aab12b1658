//! Fault-injecting TCP proxy.

mod faults;
mod forwarder;
mod server;

pub use faults::{Faults, Impairment};
pub use server::{Proxy, Settings};
