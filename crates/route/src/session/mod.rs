//! Sessions and the versions that serve them.

mod sessions;

pub use sessions::Sessions;
