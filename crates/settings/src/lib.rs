//! Settings from flags and environment variables, and the logger that they configure.

pub mod error;
mod generated;
pub mod keyring;
pub mod log;
pub mod node;
pub mod secret;
pub mod spec;
mod value;

pub use error::{Error, Problem};
pub use keyring::Keyring;
pub use secret::Secret;
