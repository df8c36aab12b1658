//! Where a test writes down what happens.

use crate::history::{Change, History, Interruption, Leaving, Reading, Request, Stop};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A history that grows while the test runs.
#[derive(Debug, Default)]
pub struct Log {
    history: Mutex<History>,
}

impl Log {
    /// Adds what a caller got.
    pub fn request(&self, request: Request) {
        self.lock().requests.push(request);
    }

    /// Adds a change as it is sent.
    pub fn change(&self, change: Change) {
        self.lock().changes.push(change);
    }

    /// Puts what is known of a change in place of what was, by its id.
    pub fn settle(&self, change: &Change) {
        let mut history = self.lock();
        let known = history
            .changes
            .iter_mut()
            .find(|known| known.id == change.id);
        if let Some(known) = known {
            *known = change.clone();
        }
    }

    /// Adds a node's death.
    pub fn interruption(&self, event: Interruption) {
        self.lock().interruptions.push(event);
    }

    /// Adds a planned stop.
    pub fn stop(&self, stop: Stop) {
        self.lock().stops.push(stop);
    }

    /// Adds a backend server that leaves.
    pub fn leaving(&self, leaving: Leaving) {
        self.lock().leavings.push(leaving);
    }

    /// Ends the leaving of a backend server.
    pub fn returned(&self, backend: &str, at_ms: u64) {
        let mut history = self.lock();
        let mut left = history.leavings.iter_mut().rev();
        if let Some(last) = left.find(|one| one.backend == backend) {
            last.until_ms = Some(at_ms);
        }
    }

    /// Adds a node's word on its configuration.
    pub fn reading(&self, reading: Reading) {
        self.lock().readings.push(reading);
    }

    /// The history so far.
    pub fn history(&self) -> History {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
