//! Object store that implements the subset of the path-style S3 protocol used by nodes.

mod server;

pub use server::{Server, Settings};
