//! A budget of extra requests over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How many extra requests a window allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window.
    pub window: Duration,
    /// Extra requests for each first request of the window.
    pub ratio: f64,
    /// Extra requests beyond that.
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

/// A budget of extra requests over a sliding window. A bucket of tokens would let a node with few
/// requests send none of them again until it had saved enough.
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
    /// A budget of which nothing was taken.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            ..Self::default()
        }
    }

    /// Changes what the window allows; what was taken stays taken.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a first request.
    pub fn count(&mut self, now: Instant) {
        self.firsts.push_back(now);
        self.forget(now);
    }

    /// Takes an extra request, if less than a part of the budget is used.
    pub fn withdraw(&mut self, now: Instant, part: f64) -> bool {
        self.forget(now);
        let Allowance { ratio, extra, .. } = self.allowance;
        let most = part * (ratio * self.firsts.len() as f64 + extra);
        if self.extras.len() as f64 + 1.0 > most {
            return false;
        }
        self.extras.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
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
