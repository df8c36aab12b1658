//! Routes, customers and backend servers of a site, and the decisions that a node makes about them.
//!
//! This crate is pure: it reads no clock, takes no lock and does no I/O. Callers pass the time in and
//! get each decision back as a value.

pub mod cascade;
pub mod config;
pub mod explain;
pub mod ids;
pub mod member;
pub mod pool;
mod position;
pub mod reach;
pub mod relay;
pub mod rollout;
pub mod server;
pub mod session;
pub mod site;
pub mod table;
pub mod zone;

pub use ids::*;
pub use position::{Era, Position};
