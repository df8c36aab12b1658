//! Lines that were not written.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the lines that were not written.
#[derive(Clone, Debug, Default)]
pub struct Counts(Arc<AtomicU64>);

impl Counts {
    /// Lines that were not written so far.
    ///
    /// ```
    /// let counts = settings::log::Counts::default();
    /// counts.drop_one();
    /// assert_eq!(counts.dropped(), 1);
    /// ```
    pub fn dropped(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a line that is not written.
    pub fn drop_one(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}
