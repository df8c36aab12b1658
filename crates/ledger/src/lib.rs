//! Run records and bills.

pub mod bill;
mod error;
pub mod record;

pub use error::Error;
