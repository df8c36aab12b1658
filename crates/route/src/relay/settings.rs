//! Settings of relays.

use std::time::Duration;

/// How many relays there are, and when one counts as lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Relays of an availability zone: one that fails leaves another.
    pub per_zone: usize,
    /// Nodes up to which all are relays: a link from each to each is cheap.
    pub max_mesh_nodes: usize,
    /// Time for which a link may take to open before the next node in order is tried as well.
    pub dial_grace: Duration,
    /// Time without a word after which a link counts as lost.
    pub timeout: Duration,
    /// First pause after a link that failed; it doubles up to the longest.
    pub min_backoff: Duration,
    /// Longest pause after links that failed.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_zone: 2,
            max_mesh_nodes: 16,
            dial_grace: Duration::from_millis(250),
            timeout: Duration::from_millis(1300),
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
        }
    }
}
