//! Backend servers that fail at this node are left alone for a while.

use contract::{BackendId, Map};
use limits::quarantine::{Breaker, Settings};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Circuit breakers of the backend servers that have failed. One lock, held for single steps.
#[derive(Debug, Default)]
pub struct Breakers {
    breakers: Mutex<Map<BackendId, Breaker>>,
}

impl Breakers {
    /// Whether a request could go to a backend server now.
    ///
    /// ```
    /// use std::time::Instant;
    /// let breakers = node::app::Breakers::default();
    /// (0..3).for_each(|_| breakers.record_failure(Instant::now(), "127.0.0.1:1"));
    /// assert!(!breakers.allows_request(Instant::now(), "127.0.0.1:1"));
    /// breakers.record_success("127.0.0.1:1");
    /// assert!(breakers.allows_request(Instant::now(), "127.0.0.1:1"));
    /// ```
    pub fn allows_request(&self, now: Instant, backend: &str) -> bool {
        let breakers = self.lock();
        breakers
            .get(backend)
            .is_none_or(|breaker| breaker.allows_request(now))
    }

    /// Asks for one request to go; in quarantine only a probe may.
    pub fn try_acquire(&self, now: Instant, backend: &str) -> bool {
        let mut breakers = self.lock();
        breakers
            .get_mut(backend)
            .is_none_or(|breaker| breaker.try_acquire(now))
    }

    /// A request succeeded: the quarantine ends.
    pub fn record_success(&self, backend: &str) {
        self.lock().remove(backend);
    }

    /// A request failed by the backend server's fault.
    pub fn record_failure(&self, now: Instant, backend: &str) {
        let mut breakers = self.lock();
        let breaker = breakers
            .entry(backend.to_owned())
            .or_insert_with(|| Breaker::new(Settings::default()));
        breaker.record_failure(now, &mut rand::rng());
    }

    /// Backend servers that are left alone now.
    pub fn tripped(&self, now: Instant) -> Vec<BackendId> {
        let breakers = self.lock();
        let tripped = breakers
            .iter()
            .filter(|(_, breaker)| !breaker.allows_request(now));
        tripped.map(|(backend, _)| backend.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<BackendId, Breaker>> {
        self.breakers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
