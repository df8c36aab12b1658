//! Circuit breakers that keep requests away from failing backend servers.

use contract::{BackendId, Map};
use limits::quarantine::{Breaker, Settings};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Circuit breakers of the backend servers that have failed at this node. A single lock guards all
/// of them; it is only held for one operation at a time.
#[derive(Debug, Default)]
pub struct Breakers {
    breakers: Mutex<Map<BackendId, Breaker>>,
}

impl Breakers {
    /// Whether the breaker of a backend server lets a request through now.
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

    /// Requests permission to send one request. While a breaker is tripped, only probes get it.
    pub fn try_acquire(&self, now: Instant, backend: &str) -> bool {
        let mut breakers = self.lock();
        breakers
            .get_mut(backend)
            .is_none_or(|breaker| breaker.try_acquire(now))
    }

    /// Records a successful request, which closes the breaker.
    pub fn record_success(&self, backend: &str) {
        self.lock().remove(backend);
    }

    /// Records a request that failed because of the backend server.
    pub fn record_failure(&self, now: Instant, backend: &str) {
        let mut breakers = self.lock();
        let breaker = breakers
            .entry(backend.to_owned())
            .or_insert_with(|| Breaker::new(Settings::default()));
        breaker.record_failure(now, &mut rand::rng());
    }

    /// Returns the backend servers that get no requests now.
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
