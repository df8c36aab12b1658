//! Token counts.

use serde::{Deserialize, Serialize};

/// Token counts of a completion, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the completion.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of both.
    #[serde(default)]
    pub total_tokens: u64,
}
