//! Sessions and the versions that they are on.

mod sessions;

pub use sessions::Sessions;
