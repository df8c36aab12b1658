//! Circuit breaker of one backend server.

use crate::quarantine::Settings;
use rand::Rng;
use std::time::{Duration, Instant};

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Requests pass.
    Closed,
    /// No request passes until the given time.
    Open {
        /// When the first probe may be sent.
        until: Instant,
    },
    /// A single probe is in flight.
    HalfOpen {
        /// When the probe started.
        since: Instant,
    },
}

/// A circuit breaker of one backend server.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Settings,
    state: State,
    failures: u32,
    consecutive_openings: u32,
}

impl Breaker {
    /// Creates a closed breaker.
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
            consecutive_openings: 0,
        }
    }

    /// The current state.
    ///
    /// ```
    /// # use limits::quarantine::{Breaker, Settings, State};
    /// assert_eq!(Breaker::new(Settings::default()).state(), State::Closed);
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a request would be let through now. Does not change the state.
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

    /// Asks to send one request. If the breaker isn't closed, the request that is let through is
    /// the probe.
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

    /// Records a successful request and closes the breaker.
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
        self.consecutive_openings = 0;
    }

    /// Records a request that failed through the backend server's fault.
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
            let until = now + self.open_delay(rng);
            self.consecutive_openings = self.consecutive_openings.saturating_add(1);
            self.state = State::Open { until };
        }
    }

    /// Exponential backoff with jitter.
    fn open_delay(&self, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(self.consecutive_openings);
        let delay = self.settings.base_delay.saturating_mul(factor);
        let delay = delay.min(self.settings.max_delay);
        delay.mul_f64(1.0 + self.settings.jitter * rng.random::<f64>())
    }
}
