//! Charge for one run of a request.

use contract::{Micros, ModelId, VersionId};

/// Number of tokens that a price refers to.
const TOKENS_PER_PRICE: u64 = 1000;

/// Tokens and prices of one run of a request on one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Charge {
    /// Model that ran it.
    pub model: ModelId,
    /// Version that ran it.
    pub version: VersionId,
    /// Number of input tokens.
    pub input_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
    /// Price of 1,000 input tokens in micro-units of currency.
    pub input_micros: Micros,
    /// Price of 1,000 output tokens in micro-units of currency.
    pub output_micros: Micros,
}

impl Charge {
    /// Price of the run in micro-units, rounded up.
    ///
    /// ```
    /// let charge = ledger::bill::Charge { input_tokens: 1, input_micros: 10, ..Default::default() };
    /// assert_eq!(charge.micros(), 1);
    /// ```
    pub fn micros(&self) -> Micros {
        let input = self.input_tokens.saturating_mul(self.input_micros);
        let output = self.output_tokens.saturating_mul(self.output_micros);
        input.saturating_add(output).div_ceil(TOKENS_PER_PRICE)
    }
}
