//! Run records, which make a call run at most once, and bills, which charge each request once.

pub mod bill;
mod error;
pub mod record;

pub use error::Error;
