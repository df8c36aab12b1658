//! Routing table built from a configuration.

mod error;
mod table;

pub use error::Error;
pub use table::Table;
