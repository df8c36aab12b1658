//! Lines that were not written.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Drops the lines that were not written.
#[derive(Clone, Debug, Default)]
pub struct Drops(Arc<AtomicU64>);

impl Drops {
    /// Lines that were not written so far.
    ///
    /// ```
    /// let drops = settings::log::Drops::default();
    /// drops.increment();
    /// assert_eq!(drops.count(), 1);
    /// ```
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Drops a line that is not written.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}
