//! Routes, customers and backend servers of a site, and the decisions taken over them.
//!
//! Nothing here reads a clock, takes a lock or does I/O: time is passed in and each decision is a
//! value.

pub mod cascade;
pub mod config;
pub mod ids;
pub mod member;
pub mod pool;
pub mod relay;
pub mod rollout;
pub mod server;
pub mod session;
pub mod site;
pub mod table;

pub use ids::*;
