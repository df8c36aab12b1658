//! Run records of calls that may not be repeated.

mod runs;

pub use runs::Runs;
