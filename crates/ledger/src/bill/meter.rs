//! Metering of a request in progress.

use super::{Bill, Charge};
use contract::{CustomerId, Micros};

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
