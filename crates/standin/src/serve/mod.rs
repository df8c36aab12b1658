//! HTTP server setup shared by the stand-ins.

mod clock;
mod server;

pub use clock::unix_ms;
pub use server::{Server, build, free_address, loopback};
