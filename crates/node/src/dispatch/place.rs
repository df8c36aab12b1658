//! This node's own requests in flight at each backend server.

use contract::{BackendId, Map};
use std::sync::{Arc, Mutex, PoisonError};

/// Requests in flight by backend server.
#[derive(Debug, Default)]
pub struct Load {
    counts: Mutex<Map<BackendId, u32>>,
}

/// One request in flight; it ends when dropped.
#[derive(Debug)]
pub struct Permit {
    load: Arc<Load>,
    backend: BackendId,
}

impl Load {
    /// Requests in flight at a backend server.
    ///
    /// ```
    /// let load = std::sync::Arc::new(node::dispatch::Load::default());
    /// let permit = node::dispatch::Load::enter(&load, "127.0.0.1:1", 1);
    /// assert!(permit.is_some());
    /// assert!(node::dispatch::Load::enter(&load, "127.0.0.1:1", 1).is_none());
    /// drop(permit);
    /// assert_eq!(load.at("127.0.0.1:1"), 0);
    /// ```
    pub fn at(&self, backend: &str) -> u32 {
        self.lock().get(backend).copied().unwrap_or(0)
    }

    /// Starts a request unless the backend server has its fill.
    pub fn enter(load: &Arc<Self>, backend: &str, limit: u32) -> Option<Permit> {
        let mut counts = load.lock();
        let count = counts.entry(backend.to_owned()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        drop(counts);
        Some(Permit {
            load: Arc::clone(load),
            backend: backend.to_owned(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<BackendId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.load.lock();
        if let Some(count) = counts.get_mut(&self.backend) {
            *count = count.saturating_sub(1);
        }
    }
}
