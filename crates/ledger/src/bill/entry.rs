//! One bill.

use contract::{CustomerId, Micros, ModelId, VersionId};
use serde::{Deserialize, Serialize};

/// What one request cost its customer, all attempts and legs of a cascade together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// The request; no two bills name the same one.
    pub request_id: String,
    /// Who pays.
    pub customer: CustomerId,
    /// Model of the answer that the caller received.
    pub model: ModelId,
    /// Version of the answer that the caller received.
    pub version: VersionId,
    /// Input tokens of all legs.
    pub input_tokens: u64,
    /// Output tokens of all legs.
    pub output_tokens: u64,
    /// Price of all legs in micro-units of money.
    pub micros: Micros,
    /// When the request ended, in milliseconds since 1970.
    pub at_ms: u64,
}
