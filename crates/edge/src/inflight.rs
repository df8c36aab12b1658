//! Count of the requests that are in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of requests that the node is processing.
#[derive(Debug, Default)]
pub struct Counter(AtomicUsize);

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Counter>);

impl Counter {
    /// Counts a request for as long as the returned guard lives.
    pub fn track(self: &Arc<Self>) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(Arc::clone(self))
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
