//! Records of calls that must not be repeated.

mod claims;

pub use claims::Claims;
