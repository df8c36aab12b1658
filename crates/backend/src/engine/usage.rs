//! Token counts.

use serde::{Deserialize, Serialize};

/// Tokens read and generated, as the engine counts them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of both.
    #[serde(default)]
    pub total_tokens: u64,
}
