//! Whether any attempt at a request may have run.

use crate::Error;
use backend::Ran;
use std::sync::{Mutex, PoisonError};

/// The failed attempts at one request.
#[derive(Debug)]
pub(super) struct Attempts {
    ran: Mutex<Ran>,
}

impl Attempts {
    /// Notes a failed attempt.
    pub(super) fn note(&self, ran: Ran) {
        let mut worst = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        *worst = ran.max(*worst);
    }

    /// Makes an error tell of all attempts.
    pub(super) fn tell(&self, error: Error) -> Error {
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
