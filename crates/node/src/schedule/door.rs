//! The queues before all pools.

use crate::schedule::lane::Lane;
use crate::schedule::{Entry, Pass};
use contract::Map;
use limits::Refusal;
use limits::admission::{Request, Settings};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The queues before all pools.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use node::schedule::{Door, Entry};
/// use std::time::{Duration, Instant};
/// let door = Door::new(Default::default());
/// let entry = Entry {
///     pool: "small@1", capacity: 1, customer: "c", priority: 5, weight: 1,
///     deadline: Instant::now() + Duration::from_secs(5), expected: Duration::from_secs(1),
/// };
/// let pass = door.enter(entry).await?;
/// assert_eq!(door.counts("small@1"), (1, 0));
/// drop(pass);
/// assert_eq!(door.counts("small@1"), (0, 0));
/// # Ok::<(), limits::Refusal>(()) }).unwrap();
/// ```
#[derive(Debug)]
pub struct Door {
    settings: Settings,
    lanes: Mutex<Map<String, Arc<Lane>>>,
}

impl Door {
    /// Queues that are empty.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            lanes: Mutex::default(),
        }
    }

    /// Waits for leave to run at a pool. A refused request has not run.
    pub async fn enter(&self, entry: Entry<'_>) -> Result<Pass, Refusal> {
        let lane = self.lane(entry.pool);
        Lane::enter(&lane, entry).await
    }

    /// Expected wait before a pool of a request that would come now.
    pub fn expected_wait(&self, pool: &str, request: &Request) -> Duration {
        self.lane(pool).expected_wait(request)
    }

    /// Lets more or fewer requests run at a pool at once; those that wait may go on.
    pub fn resize(&self, pool: &str, capacity: u32) {
        self.lane(pool).resize(capacity);
    }

    /// Requests that run and wait at a pool.
    pub fn counts(&self, pool: &str) -> (u32, usize) {
        self.lane(pool).counts()
    }

    /// Requests that run and wait at each pool.
    pub fn all(&self) -> Vec<(String, u32, usize)> {
        let lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = lanes.iter().map(|(pool, lane)| {
            let (running, waiting) = lane.counts();
            (pool.clone(), running, waiting)
        });
        counts.collect()
    }

    fn lane(&self, pool: &str) -> Arc<Lane> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = lanes.get(pool) {
            return Arc::clone(lane);
        }
        let lane = Arc::new(Lane::new(self.settings.clone()));
        lanes.insert(pool.to_owned(), Arc::clone(&lane));
        lane
    }
}
