//! How soon promises with a delay must hold.

use std::time::Duration;

/// Delays after which intents hold everywhere.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the report that a change is in force until bytes that left before it have arrived.
    pub flight: Duration,
    /// From the acceptance of a change until it is in force everywhere.
    pub in_force: Duration,
    /// From the acceptance of a zone being taken out until it receives no new work.
    pub zone_out: Duration,
    /// From a backend server being listed as leaving until it receives no new work.
    pub leaving: Duration,
    /// From the signal of a planned stop until the process has ended.
    pub stop: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            flight: Duration::from_millis(250),
            in_force: Duration::from_secs(5),
            zone_out: Duration::from_secs(5),
            leaving: Duration::from_secs(5),
            stop: Duration::from_secs(35),
        }
    }
}
