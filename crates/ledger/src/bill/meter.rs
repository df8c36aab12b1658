//! The open bill of a request that is under way.

use super::Bill;
use contract::{CustomerId, Micros, ModelId, VersionId};

/// Tokens that a price is for.
const TOKENS_PER_PRICE: u64 = 1000;

/// One run of a request on one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Charge {
    /// Model that ran it.
    pub model: ModelId,
    /// Version that ran it.
    pub version: VersionId,
    /// Tokens read.
    pub input_tokens: u64,
    /// Tokens written.
    pub output_tokens: u64,
    /// Price of 1,000 input tokens in micro-units of money.
    pub input_micros: Micros,
    /// Price of 1,000 output tokens in micro-units of money.
    pub output_micros: Micros,
}

impl Charge {
    /// Price of the leg, rounded up to a whole micro-unit.
    ///
    /// ```
    /// let leg = ledger::bill::Charge { input_tokens: 1, input_micros: 10, ..Default::default() };
    /// assert_eq!(leg.micros(), 1);
    /// ```
    pub fn micros(&self) -> Micros {
        let input = self.input_tokens.saturating_mul(self.input_micros);
        let output = self.output_tokens.saturating_mul(self.output_micros);
        input.saturating_add(output).div_ceil(TOKENS_PER_PRICE)
    }
}

/// The open bill of a request. It isn't `Clone` and closing consumes it, so that a request with
/// retries and several legs comes to one bill.
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
    legs: Vec<Charge>,
}

impl Meter {
    /// Opens the bill of a request.
    pub fn new(request_id: &str, customer: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            customer: customer.to_owned(),
            legs: Vec::new(),
        }
    }

    /// Adds a leg that the customer pays for.
    pub fn add(&mut self, leg: Charge) {
        self.legs.push(leg);
    }

    /// What the legs cost so far.
    pub fn micros(&self) -> Micros {
        self.legs.iter().map(Charge::micros).sum()
    }

    /// Closes the bill; `None` when nothing ran. The last leg gives the model and version.
    pub fn close(self, at_ms: u64) -> Option<Bill> {
        let micros = self.micros();
        let last = self.legs.last()?;
        Some(Bill {
            model: last.model.clone(),
            version: last.version.clone(),
            input_tokens: self.legs.iter().map(|leg| leg.input_tokens).sum(),
            output_tokens: self.legs.iter().map(|leg| leg.output_tokens).sum(),
            request_id: self.request_id,
            customer: self.customer,
            micros,
            at_ms,
        })
    }
}
