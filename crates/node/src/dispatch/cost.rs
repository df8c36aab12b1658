//! What an answer costs.

use backend::Usage;
use contract::{Micros, Version};

/// Tokens that a price is given for.
const PRICED_TOKENS: u64 = 1_000;

/// Cost of tokens at a version's prices, rounded up.
///
/// ```
/// let version: contract::Version = serde_json::from_str(
///     r#"{"name":"1","input_micros":100,"output_micros":200}"#).unwrap();
/// let usage = backend::Usage { prompt_tokens: 10, completion_tokens: 10, total_tokens: 20 };
/// assert_eq!(node::dispatch::micros(&version, usage), 3);
/// ```
pub fn micros(version: &Version, usage: Usage) -> Micros {
    let input = usage.prompt_tokens.saturating_mul(version.input_micros);
    let output = usage
        .completion_tokens
        .saturating_mul(version.output_micros);
    input.saturating_add(output).div_ceil(PRICED_TOKENS)
}
