//! Settings of bills.

use std::time::Duration;

/// Limits of bills and of the wait for their durability.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limits enforced by the ledger.
    pub ledger: ledger::bill::Settings,
    /// Maximum time for which the end of an answer is delayed until its bill is durable.
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
