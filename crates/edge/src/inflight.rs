//! Counts of requests that are in flight and of the connections that carry them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of requests, or of connections, that are in use.
#[derive(Debug, Default)]
pub struct Counter(AtomicUsize);

/// Counts one of them until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Counter>);

impl Counter {
    /// Counts one for as long as the returned guard lives.
    pub fn track(self: &Arc<Self>) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(Arc::clone(self))
    }

    /// Number of those in use.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
