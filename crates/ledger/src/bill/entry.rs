//! The bill of a request.

use contract::{CustomerId, Micros, ModelId, VersionId};
use serde::{Deserialize, Serialize};

/// Cost of one request to its customer, over all attempts and all stages of a cascade.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// Id of the request; unique among bills.
    pub request_id: String,
    /// Customer that pays.
    pub customer: CustomerId,
    /// Model whose answer the caller received.
    pub model: ModelId,
    /// Version whose answer the caller received.
    pub version: VersionId,
    /// Input tokens of all charges.
    pub input_tokens: u64,
    /// Output tokens of all charges.
    pub output_tokens: u64,
    /// Price of all charges in micro-units of currency.
    pub micros: Micros,
    /// End of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
