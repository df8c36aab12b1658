//! Log lines that wait to be written.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a flush checks the backlog.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counts log lines that are queued and not yet written. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Backlog(Arc<AtomicUsize>);

impl Backlog {
    /// Counts a queued line.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts lines that have left the queue.
    pub fn remove(&self, lines: usize) {
        self.0.fetch_sub(lines, Ordering::AcqRel);
    }

    /// Blocks until all lines are written; false if they aren't in time.
    ///
    /// ```
    /// use std::time::Duration;
    /// let backlog = settings::log::Backlog::default();
    /// assert!(backlog.wait(Duration::ZERO));
    /// backlog.add();
    /// assert!(!backlog.wait(Duration::from_millis(10)));
    /// ```
    pub fn wait(&self, time: Duration) -> bool {
        let started = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 {
            if started.elapsed() >= time {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}
