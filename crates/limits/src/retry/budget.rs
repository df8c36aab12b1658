//! A budget of extra requests.

use crate::retry::Settings;
use std::time::Instant;

/// A token bucket that first requests fill and extra requests empty.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
    at: Instant,
}

impl Budget {
    /// A full budget.
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
            at: now,
        }
    }

    /// Counts a first request.
    ///
    /// ```
    /// # use limits::retry::{Budget, Settings};
    /// Budget::new(Settings::default(), std::time::Instant::now()).deposit();
    /// ```
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one extra request out of the budget, if there is one.
    ///
    /// ```
    /// # use limits::retry::{Budget, Settings};
    /// let now = std::time::Instant::now();
    /// assert!(Budget::new(Settings::default(), now).withdraw(now));
    /// ```
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let refill = elapsed * self.settings.min_per_s;
        self.tokens = (self.tokens + refill).min(self.settings.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
