//! Token bucket for extra requests (retries and hedges).

use crate::retry::Settings;
use std::time::Instant;

/// A token bucket: first requests deposit a fraction of a token, extra requests withdraw one.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    ///
    /// ```
    /// use limits::retry::{Budget, Settings};
    /// let now = std::time::Instant::now();
    /// let mut budget = Budget::new(Settings { burst: 1.0, ..Default::default() }, now);
    /// assert!(budget.withdraw(now));
    /// assert!(!budget.withdraw(now));
    /// ```
    pub fn new(settings: Settings, now: Instant) -> Self {
        let tokens = settings.burst;
        Self {
            settings,
            tokens,
            refilled_at: now,
        }
    }

    /// Counts a first request, which adds `Settings::ratio` tokens.
    ///
    /// ```
    /// # use limits::retry::{Budget, Settings};
    /// Budget::new(Settings::default(), std::time::Instant::now()).deposit();
    /// ```
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes a token for one extra request. Returns false if none is left.
    ///
    /// ```
    /// # use limits::retry::{Budget, Settings};
    /// let now = std::time::Instant::now();
    /// assert!(Budget::new(Settings::default(), now).withdraw(now));
    /// ```
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refill = elapsed * self.settings.min_per_s;
        self.tokens = (self.tokens + refill).min(self.settings.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
