//! Responses of plain services.

use bytes::Bytes;

/// A complete response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
}
