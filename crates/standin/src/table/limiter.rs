//! Rate limiter of the table service.

use std::time::Instant;

/// Token bucket whose capacity is the number of operations allowed per second.
#[derive(Clone, Debug)]
pub struct Limiter {
    per_second: f64,
    available: f64,
    refilled: Instant,
}

impl Limiter {
    /// Creates a full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            available: per_second.into(),
            refilled: now,
        }
    }

    /// Takes `count` tokens and returns true, or takes none and returns false if fewer are
    /// available.
    ///
    /// ```
    /// use standin::table::Limiter;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut limiter = Limiter::new(2, now);
    /// assert!(limiter.take(2, now));
    /// assert!(!limiter.take(1, now));
    /// assert!(limiter.take(1, now + Duration::from_millis(500)));
    /// ```
    pub fn take(&mut self, count: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.available = (self.available + elapsed * self.per_second).min(self.per_second);
        self.refilled = now;
        if self.available < count as f64 {
            return false;
        }
        self.available -= count as f64;
        true
    }
}
