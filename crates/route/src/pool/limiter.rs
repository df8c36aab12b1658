//! The requests a second that a cold backend server bears, shared by all nodes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// This node's part of the requests that a cold backend server bears.
///
/// The site bounds the requests of any second over all nodes. Each node spends a fixed part of
/// that, so that the bound holds without a word between them.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: VecDeque<Instant>,
}

impl Limiter {
    /// Whether one more request may go, given how many may in one window.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let mut ramp = route::pool::Ramp::default();
    /// let (now, window) = (Instant::now(), Duration::from_secs(1));
    /// assert!(ramp.admits(now, window, 1));
    /// ramp.record(now, window);
    /// assert!(!ramp.admits(now, window, 1));
    /// assert!(ramp.admits(now + window, window, 1));
    /// ```
    pub fn admits(&self, now: Instant, window: Duration, most: usize) -> bool {
        let recent = |sent: &&Instant| now.saturating_duration_since(**sent) < window;
        self.sent.iter().rev().take_while(recent).count() < most
    }

    /// Counts a request; those before the window are forgotten.
    pub fn record(&mut self, now: Instant, window: Duration) {
        let old = |sent: Instant| now.saturating_duration_since(sent) >= window;
        while self.sent.front().is_some_and(|&sent| old(sent)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
