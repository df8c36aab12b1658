//! A call of a plain service.

use bytes::Bytes;

/// What is sent to a plain service.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query, from `/`.
    pub path: String,
    /// Body of the call.
    pub body: Bytes,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Name of the request.
    pub request_id: String,
    /// Customer who asks.
    pub customer: String,
    /// Key of a call that may not be repeated.
    pub idempotency_key: Option<String>,
}
