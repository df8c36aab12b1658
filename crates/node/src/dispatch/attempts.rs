//! Outcome of the failed attempts at a request.

use crate::Error;
use backend::Ran;
use std::sync::{Mutex, PoisonError};

/// Tracks whether any failed attempt at a request may have been executed.
#[derive(Debug)]
pub(super) struct Attempts {
    ran: Mutex<Ran>,
}

impl Attempts {
    /// Records a failed attempt.
    pub(super) fn record(&self, ran: Ran) {
        let mut worst = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        *worst = ran.max(*worst);
    }

    /// Extends an error so that it covers all attempts.
    pub(super) fn annotate(&self, error: Error) -> Error {
        let ran = *self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        error.with_earlier_attempts(ran)
    }
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            ran: Mutex::new(Ran::No),
        }
    }
}
