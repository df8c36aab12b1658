//! Admission queues of all pools.

use crate::schedule::limiter::Limiter;
use crate::schedule::{Arrival, Permit};
use contract::Map;
use limits::Refusal;
use limits::admission::{Request, Settings};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Admission queues of all pools, one limiter per pool.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use node::schedule::{Queues, Arrival};
/// use std::time::{Duration, Instant};
/// let queues = Queues::new(Default::default());
/// let arrival = Arrival {
///     pool: "small@1", capacity: 1, customer: "c", priority: 5, weight: 1,
///     deadline: Instant::now() + Duration::from_secs(5), expected: Duration::from_secs(1),
/// };
/// let permit = queues.acquire(arrival).await?;
/// assert_eq!(queues.counts("small@1"), (1, 0));
/// drop(permit);
/// assert_eq!(queues.counts("small@1"), (0, 0));
/// # Ok::<(), limits::Refusal>(()) }).unwrap();
/// ```
#[derive(Debug)]
pub struct Queues {
    settings: Settings,
    limiters: Mutex<Map<String, Arc<Limiter>>>,
}

impl Queues {
    /// Creates empty queues.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            limiters: Mutex::default(),
        }
    }

    /// Waits for a permit to run at a pool. A refused request has not been executed.
    pub async fn acquire(&self, arrival: Arrival<'_>) -> Result<Permit, Refusal> {
        let limiter = self.limiter(arrival.pool);
        Limiter::acquire(&limiter, arrival).await
    }

    /// Expected wait of a request that would join the queue of a pool now.
    pub fn expected_wait(&self, pool: &str, request: &Request) -> Duration {
        self.limiter(pool).expected_wait(request)
    }

    /// Changes how many requests may run at a pool at once, and admits waiting ones if possible.
    pub fn resize(&self, pool: &str, capacity: u32) {
        self.limiter(pool).resize(capacity);
    }

    /// Numbers of running and waiting requests of a pool.
    pub fn counts(&self, pool: &str) -> (u32, usize) {
        self.limiter(pool).counts()
    }

    /// Numbers of running and waiting requests of each pool.
    pub fn counts_by_pool(&self) -> Vec<(String, u32, usize)> {
        let limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = limiters.iter().map(|(pool, limiter)| {
            let (running, waiting) = limiter.counts();
            (pool.clone(), running, waiting)
        });
        counts.collect()
    }

    fn limiter(&self, pool: &str) -> Arc<Limiter> {
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(limiter) = limiters.get(pool) {
            return Arc::clone(limiter);
        }
        let limiter = Arc::new(Limiter::new(self.settings.clone()));
        limiters.insert(pool.to_owned(), Arc::clone(&limiter));
        limiter
    }
}
