//! Answer to a chat request.

use crate::dispatch::Stream;
use backend::Ran;
use contract::{Micros, ModelId, VersionId};
use policy::plan::Explanation;
use serde::Serialize;

/// Outcome of a request, for the caller's records.
#[derive(Clone, Debug, Serialize)]
pub struct Receipt {
    /// Unique ID of the request.
    pub request_id: String,
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Billed cost in micro-units of currency.
    pub cost_micros: Micros,
    /// Whether the request was executed.
    pub ran: Ran,
}

/// A complete answer or a stream.
#[derive(Debug)]
pub enum Answer {
    /// JSON text of a chat completion.
    Whole {
        /// Response body.
        body: String,
        /// Outcome of the request.
        receipt: Receipt,
        /// Session token.
        session: String,
        /// Why the plan was chosen.
        explanation: Explanation,
    },
    /// Server-sent events as they arrive.
    Stream(Box<Stream>),
}
