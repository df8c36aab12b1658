//! How long a request waits for its bill.

use std::time::Duration;

/// Bounds of bills, and how long a request waits for its own.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Bounds that the ledger keeps.
    pub ledger: ledger::bill::Settings,
    /// Longest time for which the end of an answer is held back until its bill is safe.
    pub durability_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ledger: ledger::bill::Settings::default(),
            durability_timeout: Duration::from_secs(1),
        }
    }
}
