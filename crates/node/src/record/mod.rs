//! Run records of calls that may not be repeated.

mod claims;

pub use claims::Claims;
