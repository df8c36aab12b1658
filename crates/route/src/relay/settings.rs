//! Settings of the overlay network.

use std::time::Duration;

/// Number of relays, and the timeouts and backoffs of links.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Relays per availability zone. With more than one, the zone stays connected when a relay fails.
    pub per_zone: usize,
    /// Maximum number of nodes up to which all are relays, because a full mesh is cheap.
    pub max_mesh_nodes: usize,
    /// Time that a link may take to open before the next node in the order is tried as well.
    pub dial_grace: Duration,
    /// Time without a heartbeat after which a link counts as lost.
    pub timeout: Duration,
    /// Pause after the first failed attempt to open a link; it doubles up to `max_backoff`.
    pub min_backoff: Duration,
    /// Maximum pause between attempts to open a link.
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
