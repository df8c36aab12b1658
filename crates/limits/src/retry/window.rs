//! Sliding-window budget for extra requests (retries and hedges).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How many extra requests are allowed per window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window.
    pub window: Duration,
    /// Extra requests allowed per first request in the window.
    pub ratio: f64,
    /// Extra requests allowed on top of that.
    pub extra: f64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.1,
            extra: 1.0,
        }
    }
}

/// A budget of extra requests over a sliding window. With a token bucket, a node with little
/// traffic could retry nothing until it had accumulated a whole token.
///
/// ```
/// use limits::retry::{Allowance, Window};
/// let now = std::time::Instant::now();
/// let mut window = Window::new(Allowance { ratio: 0.5, extra: 1.0, ..Default::default() });
/// window.count(now);
/// window.count(now);
/// assert!(window.withdraw(now, 1.0));
/// assert!(window.withdraw(now, 1.0));
/// assert!(!window.withdraw(now, 1.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    allowance: Allowance,
    firsts: VecDeque<Instant>,
    extras: VecDeque<Instant>,
}

impl Window {
    /// Creates an unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            ..Self::default()
        }
    }

    /// Changes the allowance. Requests already in the window still count.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a first request.
    pub fn count(&mut self, now: Instant) {
        self.firsts.push_back(now);
        self.remove_expired(now);
    }

    /// Takes one extra request out of `share` (0 to 1) of the budget. Returns false if that share
    /// is used up.
    pub fn withdraw(&mut self, now: Instant, share: f64) -> bool {
        self.remove_expired(now);
        let Allowance { ratio, extra, .. } = self.allowance;
        let max = share * (ratio * self.firsts.len() as f64 + extra);
        if self.extras.len() as f64 + 1.0 > max {
            return false;
        }
        self.extras.push_back(now);
        true
    }

    /// Takes back the last extra request, which was not sent.
    ///
    /// ```
    /// use limits::retry::{Allowance, Window};
    /// let now = std::time::Instant::now();
    /// let mut window = Window::new(Allowance { extra: 1.0, ..Default::default() });
    /// assert!(window.withdraw(now, 1.0) && !window.withdraw(now, 1.0));
    /// window.restore();
    /// assert!(window.withdraw(now, 1.0));
    /// ```
    pub fn restore(&mut self) {
        self.extras.pop_back();
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.allowance.window;
        for times in [&mut self.firsts, &mut self.extras] {
            while times
                .front()
                .is_some_and(|&at| now.saturating_duration_since(at) >= window)
            {
                times.pop_front();
            }
        }
    }
}
