//! What a caller gets back.

use crate::dispatch::Stream;
use backend::Ran;
use contract::{Micros, ModelId, VersionId};
use policy::plan::Explanation;
use serde::Serialize;

/// What became of a request, for the caller's records.
#[derive(Clone, Debug, Serialize)]
pub struct Receipt {
    /// Name of the request.
    pub request_id: String,
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Micro-units of money billed for the request.
    pub cost_micros: Micros,
    /// Whether it ran.
    pub ran: Ran,
}

/// A whole answer, or the start of a streamed one.
#[derive(Debug)]
pub enum Answer {
    /// JSON text of a chat completion.
    Whole {
        /// The body.
        body: String,
        /// What became of the request.
        receipt: Receipt,
        /// Token of the session.
        session: String,
        /// Why the plan was chosen.
        explanation: Explanation,
    },
    /// Events as they come.
    Stream(Box<Stream>),
}
