//! What a request has cost so far; it is billed once, when it ends.

use crate::app::App;
use contract::{CustomerId, Micros};
use ledger::bill::{Bill, Leg, Meter};
use limits::spend::Reservation;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The open bill of a request and the money set aside for it. Both are settled when it is dropped.
pub(super) struct Account {
    app: Arc<App>,
    customer: CustomerId,
    meter: Option<Meter>,
    hold: Option<Reservation>,
}

impl Account {
    /// Opens the bill of a request.
    pub(super) fn new(
        app: &Arc<App>,
        customer: &str,
        request_id: &str,
        hold: Option<Reservation>,
    ) -> Self {
        Self {
            app: Arc::clone(app),
            customer: customer.to_owned(),
            meter: Some(Meter::new(request_id, customer)),
            hold,
        }
    }

    /// Adds a run that the customer pays for.
    pub(super) fn add(&mut self, leg: Leg) {
        if let Some(meter) = &mut self.meter {
            meter.add(leg);
        }
    }

    /// What the runs cost so far.
    pub(super) fn micros(&self) -> Micros {
        self.meter.as_ref().map_or(0, Meter::micros)
    }

    /// Closes the bill and waits until it is safe; call it before the answer ends.
    pub(super) async fn close(&mut self) {
        if let Some(bill) = self.settle() {
            self.app.record_bill(&bill);
            self.app.bills.enqueue_and_wait(bill).await;
        }
    }

    fn settle(&mut self) -> Option<Bill> {
        let bill = self.meter.take().and_then(|meter| meter.close(now_ms()));
        let cost = bill.as_ref().map_or(0, |bill| bill.micros);
        if let Some(hold) = self.hold.take() {
            self.app.budgets.settle(&self.customer, hold, cost);
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
