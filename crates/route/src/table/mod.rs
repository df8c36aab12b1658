//! The routing table made from a configuration.

mod error;
mod table;

pub use error::Error;
pub use table::Table;
