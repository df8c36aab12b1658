//! Requests to plain services.

use bytes::Bytes;

/// A request to a plain service.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Id of the request.
    pub request_id: String,
    /// Customer that sent the request.
    pub customer: String,
    /// Idempotency key of a call that may not be repeated.
    pub idempotency_key: Option<String>,
}
