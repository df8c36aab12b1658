//! A circuit breaker before one backend server.

use crate::quarantine::Settings;
use rand::Rng;
use std::time::{Duration, Instant};

/// Whether requests go to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// They do.
    Closed,
    /// They don't until the time given.
    Open {
        /// When a probe may go.
        until: Instant,
    },
    /// One probe is under way.
    HalfOpen {
        /// When the probe began.
        since: Instant,
    },
}

/// A circuit breaker before one backend server.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Settings,
    state: State,
    failures: u32,
    openings: u32,
}

impl Breaker {
    /// A closed breaker.
    ///
    /// ```
    /// use limits::quarantine::{Breaker, Settings, State};
    /// assert_eq!(Breaker::new(Settings::default()).state(), State::Closed);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            state: State::Closed,
            failures: 0,
            openings: 0,
        }
    }

    /// Whether requests go to the backend server.
    ///
    /// ```
    /// # use limits::quarantine::{Breaker, Settings, State};
    /// assert_eq!(Breaker::new(Settings::default()).state(), State::Closed);
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a request could go now.
    ///
    /// ```
    /// # use limits::quarantine::{Breaker, Settings};
    /// assert!(Breaker::new(Settings::default()).allows_request(std::time::Instant::now()));
    /// ```
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { since } => {
                now.saturating_duration_since(since) >= self.settings.probe_timeout
            }
        }
    }

    /// Asks for one request to go; in quarantine, the one that may is the probe.
    ///
    /// ```
    /// use limits::quarantine::{Breaker, Settings};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// let now = std::time::Instant::now();
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let mut breaker = Breaker::new(Settings { failure_threshold: 1, ..Default::default() });
    /// breaker.record_failure(now, &mut rng);
    /// assert!(!breaker.try_acquire(now));
    /// let later = now + std::time::Duration::from_secs(2);
    /// assert!(breaker.try_acquire(later), "the probe");
    /// assert!(!breaker.try_acquire(later), "one probe at a time");
    /// ```
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if !self.allows_request(now) {
            return false;
        }
        if self.state != State::Closed {
            self.state = State::HalfOpen { since: now };
        }
        true
    }

    /// A request succeeded: the quarantine ends.
    ///
    /// ```
    /// # use limits::quarantine::{Breaker, Settings, State};
    /// let mut breaker = Breaker::new(Settings::default());
    /// breaker.record_success();
    /// assert_eq!(breaker.state(), State::Closed);
    /// ```
    pub fn record_success(&mut self) {
        self.state = State::Closed;
        self.failures = 0;
        self.openings = 0;
    }

    /// A request failed by the backend server's fault.
    ///
    /// ```
    /// # use limits::quarantine::{Breaker, Settings, State};
    /// # use rand::{rngs::SmallRng, SeedableRng};
    /// let mut breaker = Breaker::new(Settings::default());
    /// breaker.record_failure(std::time::Instant::now(), &mut SmallRng::seed_from_u64(1));
    /// assert_eq!(breaker.state(), State::Closed);
    /// ```
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, State::HalfOpen { .. });
        let tripped =
            self.state == State::Closed && self.failures >= self.settings.failure_threshold;
        if probing || tripped {
            let until = now + self.pause(rng);
            self.openings = self.openings.saturating_add(1);
            self.state = State::Open { until };
        }
    }

    fn pause(&self, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(self.openings);
        let pause = self.settings.base_delay.saturating_mul(factor);
        let pause = pause.min(self.settings.max_delay);
        pause.mul_f64(1.0 + self.settings.jitter * rng.random::<f64>())
    }
}
