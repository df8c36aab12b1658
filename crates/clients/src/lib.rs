//! Clients for the platform's services: table, object store, VM list and rating service.

mod error;
mod http;
pub mod ratings;
pub mod store;
pub mod table;
pub mod vms;

pub use error::{Cause, Error};
pub use table::Table;
