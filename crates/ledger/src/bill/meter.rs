//! Metering of a request in progress.

use super::Bill;
use contract::{CustomerId, Micros, ModelId, VersionId};

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

/// Collects the charges of a request in progress. It isn't `Clone` and closing consumes it, so that
/// a request with retries and several charges results in at most one bill.
///
/// ```
/// use ledger::bill::{Charge, Meter};
/// let mut meter = Meter::new("r1", "fraser");
/// meter.add(Charge { model: "small".into(), output_tokens: 10, output_micros: 100, ..Charge::default() });
/// meter.add(Charge { model: "large".into(), output_tokens: 10, output_micros: 900, ..Charge::default() });
/// let bill = meter.close(0).unwrap();
/// assert_eq!((bill.model.as_str(), bill.micros), ("large", 10));
/// ```
#[derive(Debug)]
pub struct Meter {
    request_id: String,
    customer: CustomerId,
    charges: Vec<Charge>,
}

impl Meter {
    /// Starts metering a request.
    pub fn new(request_id: &str, customer: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            customer: customer.to_owned(),
            charges: Vec::new(),
        }
    }

    /// Adds a charge to the bill.
    pub fn add(&mut self, charge: Charge) {
        self.charges.push(charge);
    }

    /// Total price of the charges so far.
    pub fn micros(&self) -> Micros {
        self.charges.iter().map(Charge::micros).sum()
    }

    /// Creates the bill, with the model and version of the last charge; `None` if nothing ran.
    pub fn close(self, at_ms: u64) -> Option<Bill> {
        let micros = self.micros();
        let last = self.charges.last()?;
        Some(Bill {
            model: last.model.clone(),
            version: last.version.clone(),
            input_tokens: self.charges.iter().map(|charge| charge.input_tokens).sum(),
            output_tokens: self.charges.iter().map(|charge| charge.output_tokens).sum(),
            request_id: self.request_id,
            customer: self.customer,
            micros,
            at_ms,
        })
    }
}
