//! Assignment of a request to a backend server.

use crate::Error;
use crate::app::App;
use crate::schedule::Permit;
use crate::slot::Guard;
use contract::{BackendId, Revision};
use limits::slot::Outcome;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A slot of a backend server and the permit of its pool's queue, both released on drop.
pub(super) struct Assignment {
    app: Arc<App>,
    pub(super) backend: BackendId,
    slot: Guard,
    acquired: Instant,
    first_byte: Option<Duration>,
    _permit: Option<Permit>,
}

impl Assignment {
    pub(super) fn new(app: &Arc<App>, slot: Guard, permit: Option<Permit>) -> Self {
        Self {
            app: Arc::clone(app),
            backend: slot.backend().clone(),
            slot,
            acquired: Instant::now(),
            first_byte: None,
            _permit: permit,
        }
    }

    /// Checks directly before sending that the slot may still be used. Returns the fencing token.
    pub(super) fn check(&self, now: Instant) -> Result<Revision, Error> {
        let no_capacity = || Error::Capacity(self.backend.clone());
        let fencing_token = self.slot.check(now).map_err(|_| no_capacity())?;
        if !self.app.breakers.try_acquire(now, &self.backend) {
            return Err(no_capacity());
        }
        Ok(fencing_token)
    }

    /// Records that the first byte of the answer has arrived.
    pub(super) fn record_first_byte(&mut self) {
        self.first_byte = Some(self.acquired.elapsed());
    }

    /// Releases the slot after a complete answer.
    pub(super) fn complete(self) {
        self.app.breakers.record_success(&self.backend);
        let first_byte = self.first_byte.unwrap_or_else(|| self.acquired.elapsed());
        self.slot.release(&Outcome::Completed { first_byte });
    }

    /// Releases the slot after a failure.
    pub(super) fn fail(self, error: &backend::Error) {
        let outcome = outcome(error);
        if !matches!(outcome, Outcome::Cancelled | Outcome::Refused) {
            self.app
                .breakers
                .record_failure(Instant::now(), &self.backend);
        }
        self.slot.release(&outcome);
    }
}

fn outcome(error: &backend::Error) -> Outcome {
    use backend::Error;
    match error {
        Error::Connect(_) | Error::ConnectionLost(_) | Error::Truncated => Outcome::Disconnected,
        Error::Refused { .. } => Outcome::Refused,
        Error::TimedOut(_) => Outcome::Stalled,
        Error::Failed { .. } | Error::Malformed(_) => Outcome::Failed,
        Error::Rejected { .. } | Error::Oversized { .. } | Error::Unframed => Outcome::Cancelled,
    }
}
