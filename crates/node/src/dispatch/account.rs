//! Running costs of a request, billed once when it ends.

use crate::app::App;
use contract::{CustomerId, Micros};
use ledger::bill::{Bill, Charge, Meter};
use limits::spend::Reservation;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Open bill and reserved budget of a request. Both are settled on drop at the latest.
pub(super) struct Account {
    app: Arc<App>,
    customer: CustomerId,
    meter: Option<Meter>,
    reservation: Option<Reservation>,
}

impl Account {
    /// Opens the bill of a request.
    pub(super) fn new(
        app: &Arc<App>,
        customer: &str,
        request_id: &str,
        reservation: Option<Reservation>,
    ) -> Self {
        Self {
            app: Arc::clone(app),
            customer: customer.to_owned(),
            meter: Some(Meter::new(request_id, customer)),
            reservation,
        }
    }

    /// Adds the charge of a run.
    pub(super) fn add(&mut self, charge: Charge) {
        if let Some(meter) = &mut self.meter {
            meter.add(charge);
        }
    }

    /// Cost of all runs so far.
    pub(super) fn micros(&self) -> Micros {
        self.meter.as_ref().map_or(0, Meter::micros)
    }

    /// Closes the bill and waits until it is durable, at most for the timeout of the settings. Must be
    /// called before the end of the answer is delivered.
    pub(super) async fn close(&mut self) {
        if let Some(bill) = self.settle() {
            self.app.record_bill(&bill);
            self.app.bills.enqueue_and_wait(bill).await;
        }
    }

    fn settle(&mut self) -> Option<Bill> {
        let bill = self.meter.take().and_then(|meter| meter.close(now_ms()));
        let cost = bill.as_ref().map_or(0, |bill| bill.micros);
        if let Some(reservation) = self.reservation.take() {
            self.app.budgets.settle(&self.customer, reservation, cost);
        }
        bill
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(bill) = self.settle() {
            self.app.record_bill(&bill);
            self.app.bills.enqueue(bill);
        }
    }
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
