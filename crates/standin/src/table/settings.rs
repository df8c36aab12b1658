//! Settings of the table service.

use crate::serve::loopback;
use std::net::SocketAddr;

/// Settings of the table service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Reads a second beyond which calls are refused.
    pub reads_per_second: Option<u32>,
    /// Rows written a second beyond which calls are refused.
    pub writes_per_second: Option<u32>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            reads_per_second: None,
            writes_per_second: None,
        }
    }
}
