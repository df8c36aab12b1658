//! Settings of the table service.

use crate::serve::loopback;
use std::net::SocketAddr;

/// Settings of the table service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Maximum number of read calls per second; further calls are refused. Unlimited if unset.
    pub reads_per_second: Option<u32>,
    /// Maximum number of rows written per second; further calls are refused. Unlimited if unset.
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
