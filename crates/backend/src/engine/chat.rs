//! A call of an engine.

use bytes::Bytes;

/// What is sent to an engine.
#[derive(Clone, Debug, Default)]
pub struct Chat {
    /// The request as JSON, with `stream` on.
    pub body: Bytes,
    /// Name of the request, for the engine's records.
    pub request_id: String,
    /// Customer who asks.
    pub customer: String,
    /// Fencing number of the grant under which the request is sent.
    pub fencing_token: u64,
}
