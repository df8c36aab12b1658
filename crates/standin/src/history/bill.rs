//! What was billed.

use serde::Serialize;

/// One billed item, as it stands in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// Request that was billed.
    pub request_id: String,
    /// Customer that pays.
    pub customer: String,
    /// Micro-units of money.
    pub micros: u64,
}
