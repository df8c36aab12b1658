//! Answer of a plain service.

use bytes::Bytes;

/// A whole answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body of the answer.
    pub body: Bytes,
}
