//! Startup message of a stand-in process.

use serde::{Deserialize, Serialize};

/// JSON line that a stand-in process prints to standard output once its servers are bound.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Stand-in type.
    pub kind: String,
    /// Bound addresses, `ip:port`, in the order of the settings.
    pub addresses: Vec<String>,
}

impl Announcement {
    /// Prints the announcement to standard output.
    pub fn print(&self) {
        println!("{}", serde_json::json!(self));
    }
}
