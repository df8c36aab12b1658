//! A node's part of the further sends that a service bears.

use limits::retry::{Budget, Settings};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the budget that is left for requests without an answer.
const RESERVE: f64 = 0.4;

/// A node's part of the further sends that a service bears.
#[derive(Debug)]
pub struct Retries {
    budget: Budget,
    /// First sends of the present window.
    firsts: VecDeque<Instant>,
}

impl Retries {
    /// A budget that nothing was taken from.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            budget: Budget::new(settings, now),
            firsts: VecDeque::new(),
        }
    }

    /// Counts a first send. The budget holds this node's part of the extra sends, and `slack` for
    /// each request of the window.
    pub fn count(&mut self, now: Instant, window: Duration, extra: f64, slack: f64) {
        let old = |at: Instant| now.saturating_duration_since(at) >= window;
        while self.firsts.front().is_some_and(|&at| old(at)) {
            self.firsts.pop_front();
        }
        self.firsts.push_back(now);
        let burst = (extra + slack * self.firsts.len() as f64).max(1.0);
        self.budget.set_burst(burst);
        self.budget.fill();
    }

    /// Takes a further send.
    pub fn take(&mut self, now: Instant) -> bool {
        self.budget.take(now)
    }

    /// Takes a further send for a request that has an answer already: some are left for requests that
    /// have none.
    pub fn take_spare(&mut self, now: Instant) -> bool {
        self.budget.take_above(now, RESERVE)
    }
}
