//! Object store: the part of S3's path-style protocol that nodes use.

mod server;

pub use server::{Server, Settings};
