//! Counters with exponential decay.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

/// Numbers of good and bad answers. Decay makes them fractional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Good answers.
    pub good: f64,
    /// Bad answers.
    pub bad: f64,
}

impl Counts {
    /// Counts a single rated answer.
    ///
    /// ```
    /// use policy::quality::Counts;
    /// assert_eq!(Counts::from_rating(true).good, 1.0);
    /// assert_eq!(Counts::from_rating(false).bad, 1.0);
    /// ```
    pub fn from_rating(good: bool) -> Self {
        let good = f64::from(u8::from(good));
        Self {
            good,
            bad: 1.0 - good,
        }
    }

    /// Returns the sum of both counts.
    ///
    /// ```
    /// let counts = policy::quality::Counts { good: 3.0, bad: 1.0 };
    /// assert_eq!(counts.total(), 4.0);
    /// ```
    pub fn total(self) -> f64 {
        self.good + self.bad
    }

    /// Multiplies both counts by a factor.
    ///
    /// ```
    /// let counts = policy::quality::Counts { good: 3.0, bad: 1.0 };
    /// assert_eq!(counts.scaled(2.0).good, 6.0);
    /// ```
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            good: self.good * factor,
            bad: self.bad * factor,
        }
    }

    /// Replaces negative counts, which rounding can produce, by zero.
    pub(crate) fn clamped(self) -> Self {
        Self {
            good: self.good.max(0.0),
            bad: self.bad.max(0.0),
        }
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

impl Sub for Counts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            good: self.good - other.good,
            bad: self.bad - other.bad,
        }
    }
}

/// Counts with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    counts: Counts,
    updated_at: Instant,
}

impl Counter {
    /// Creates a counter from the counts at a time.
    ///
    /// ```
    /// use policy::quality::{Counter, Counts};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let counter = Counter::new(now, Counts { good: 8.0, bad: 2.0 });
    /// let later = counter.counts_at(now + Duration::from_secs(60), Duration::from_secs(60));
    /// assert_eq!(later, Counts { good: 4.0, bad: 1.0 });
    /// ```
    pub fn new(now: Instant, counts: Counts) -> Self {
        Self {
            counts,
            updated_at: now,
        }
    }

    /// Returns the counts decayed to a time.
    ///
    /// ```
    /// # use policy::quality::{Counter, Counts};
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let counter = Counter::new(now, Counts::from_rating(true));
    /// assert_eq!(counter.counts_at(now, Duration::from_secs(1)), Counts::from_rating(true));
    /// ```
    pub fn counts_at(&self, now: Instant, half_life: Duration) -> Counts {
        let age = now.saturating_duration_since(self.updated_at);
        if age.is_zero() {
            return self.counts;
        }
        let half_lives = age.as_secs_f64() / half_life.as_secs_f64();
        self.counts.scaled((-half_lives).exp2())
    }

    /// Decays the counter to a time and adds counts.
    ///
    /// ```
    /// # use policy::quality::{Counter, Counts};
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut counter = Counter::new(now, Counts::default());
    /// counter.add(now, Duration::from_secs(1), Counts::from_rating(false));
    /// assert_eq!(counter.counts_at(now, Duration::from_secs(1)), Counts::from_rating(false));
    /// ```
    pub fn add(&mut self, now: Instant, half_life: Duration, counts: Counts) {
        self.counts = (self.counts_at(now, half_life) + counts).clamped();
        self.updated_at = self.updated_at.max(now);
    }
}
