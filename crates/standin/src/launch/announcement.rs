//! The line that a stand-in prints once it has started.

use serde::{Deserialize, Serialize};

/// One JSON line on standard output: what runs, and at which addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Kind of stand-in.
    pub kind: String,
    /// Bound addresses, `ip:port`, in the order of the settings.
    pub addresses: Vec<String>,
}

impl Announcement {
    /// Prints the line.
    pub fn print(&self) {
        println!("{}", serde_json::json!(self));
    }
}
