//! Counters that forget.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

/// Numbers of good and bad answers; fractions come from decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Good answers.
    pub good: f64,
    /// Bad answers.
    pub bad: f64,
}

impl Counts {
    /// One rated answer.
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

    /// Good and bad together.
    ///
    /// ```
    /// let counts = policy::quality::Counts { good: 3.0, bad: 1.0 };
    /// assert_eq!(counts.total(), 4.0);
    /// ```
    pub fn total(self) -> f64 {
        self.good + self.bad
    }

    /// Both counts times a factor.
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

    /// Counts below zero, which rounding can leave, become zero.
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
    at: Instant,
}

impl Counter {
    /// Counts as they are at a time.
    ///
    /// ```
    /// use policy::quality::{Counter, Counts};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let counter = Counter::new(now, Counts { good: 8.0, bad: 2.0 });
    /// let later = counter.counts_at(now + Duration::from_secs(60), Duration::from_secs(60));
    /// assert_eq!(later, Counts { good: 4.0, bad: 1.0 });
    /// ```
    pub fn new(at: Instant, counts: Counts) -> Self {
        Self { counts, at }
    }

    /// What is left of the counts at a time.
    ///
    /// ```
    /// # use policy::quality::{Counter, Counts};
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let counter = Counter::new(now, Counts::from_rating(true));
    /// assert_eq!(counter.counts_at(now, Duration::from_secs(1)), Counts::from_rating(true));
    /// ```
    pub fn counts_at(&self, now: Instant, half_life: Duration) -> Counts {
        let age = now.saturating_duration_since(self.at);
        if age.is_zero() {
            return self.counts;
        }
        let lives = age.as_secs_f64() / half_life.as_secs_f64();
        self.counts.scaled((-lives).exp2())
    }

    /// Adds counts after decay.
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
        self.at = self.at.max(now);
    }
}
