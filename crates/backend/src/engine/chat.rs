//! Chat completion requests.

use bytes::Bytes;

/// A chat completion request to an engine.
#[derive(Clone, Debug, Default)]
pub struct Chat {
    /// Request body as JSON, with `stream` enabled.
    pub body: Bytes,
    /// Id of the request, for the engine's log.
    pub request_id: String,
    /// Customer that sent the request.
    pub customer: String,
    /// Fencing token of the slot grant under which the request is sent.
    pub fencing_token: u64,
}
