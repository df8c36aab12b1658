//! A run on a backend server.

use serde::{Deserialize, Serialize};

/// A run started by a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Address of the backend server.
    pub backend: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Model, empty for a plain service.
    pub model: String,
    /// Version, empty for a plain service.
    pub version: String,
    /// Request id set by the node.
    pub request_id: String,
    /// Idempotency key set by the caller.
    pub idempotency_key: String,
    /// Customer set by the node.
    pub customer: String,
    /// Time at which the backend server received the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Last message of the prompt, or body of the call; not serialized.
    #[serde(skip)]
    pub subject: String,
}
