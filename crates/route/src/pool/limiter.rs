//! Rate limit of requests to a cold backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sliding-window limiter of this node's requests to a cold backend server.
///
/// The site limits the requests of all nodes in any second. Each node gets a fixed part of that limit,
/// so that it holds without communication between the nodes.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: VecDeque<Instant>,
}

impl Limiter {
    /// Whether one more request may be sent, if `limit` requests are allowed per window.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let mut limiter = route::pool::Limiter::default();
    /// let (now, window) = (Instant::now(), Duration::from_secs(1));
    /// assert!(limiter.admits(now, window, 1));
    /// limiter.record(now, window);
    /// assert!(!limiter.admits(now, window, 1));
    /// assert!(limiter.admits(now + window, window, 1));
    /// ```
    pub fn admits(&self, now: Instant, window: Duration, limit: usize) -> bool {
        let recent = |sent: &&Instant| now.saturating_duration_since(**sent) < window;
        self.sent.iter().rev().take_while(recent).count() < limit
    }

    /// Counts a request and removes those that are older than the window.
    pub fn record(&mut self, now: Instant, window: Duration) {
        let old = |sent: Instant| now.saturating_duration_since(sent) >= window;
        while self.sent.front().is_some_and(|&sent| old(sent)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
