//! Counter of dropped log lines.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts dropped log lines. Clones share the counter.
#[derive(Clone, Debug, Default)]
pub struct Drops(Arc<AtomicU64>);

impl Drops {
    /// Number of lines dropped so far.
    ///
    /// ```
    /// let drops = settings::log::Drops::default();
    /// drops.increment();
    /// assert_eq!(drops.count(), 1);
    /// ```
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a dropped line.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}
