//! One run.

use serde::{Deserialize, Serialize};

/// A run that a backend server started.
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
    /// Request id given by the node.
    pub request_id: String,
    /// Idempotency key given by the caller.
    pub idempotency_key: String,
    /// Customer given by the node.
    pub customer: String,
    /// When the backend server received it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Last message of the prompt or body of the call; kept in this process only.
    #[serde(skip)]
    pub subject: String,
}
