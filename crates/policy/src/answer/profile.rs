//! Learned length and latency of a version's answers.

use crate::answer::{Mean, Quantile};
use contract::{Micros, Version};
use std::time::Duration;

/// Quantile that counts as the tail latency.
const TAIL_QUANTILE: f64 = 0.95;

/// Number of tokens that a price covers.
const TOKENS_PER_PRICE: f64 = 1_000.0;

/// Smallest initial latency in seconds; the quantile estimate can't start at zero.
const MIN_INITIAL_SECONDS: f64 = 0.001;

/// Estimates to start from before the first answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// Tokens in an answer.
    pub tokens: f64,
    /// Time until the answer is complete.
    pub latency: Duration,
}

/// Learned length and latency of one version's answers to one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    tokens: Mean,
    seconds: Mean,
    tail_latency: Quantile,
}

impl Profile {
    /// Creates a profile from prior estimates.
    ///
    /// ```
    /// use policy::answer::{Prior, Profile};
    /// use std::time::Duration;
    /// let prior = Prior { tokens: 50.0, latency: Duration::from_secs(1) };
    /// assert_eq!(Profile::new(prior).latency(), Duration::from_secs(1));
    /// ```
    pub fn new(prior: Prior) -> Self {
        let seconds = prior.latency.as_secs_f64().max(MIN_INITIAL_SECONDS);
        Self {
            tokens: Mean::new(prior.tokens),
            seconds: Mean::new(seconds),
            tail_latency: Quantile::new(TAIL_QUANTILE, seconds),
        }
    }

    /// Records a complete answer.
    ///
    /// ```
    /// # use policy::answer::{Prior, Profile};
    /// # use std::time::Duration;
    /// let mut profile = Profile::new(Prior { tokens: 50.0, latency: Duration::from_secs(1) });
    /// profile.observe(100, Duration::from_secs(3));
    /// assert_eq!(profile.latency(), Duration::from_secs(2));
    /// ```
    pub fn observe(&mut self, tokens: u64, latency: Duration) {
        self.tokens.observe(tokens as f64);
        self.seconds.observe(latency.as_secs_f64());
        self.tail_latency.observe(latency.as_secs_f64());
    }

    /// Returns the expected time until the answer is complete.
    ///
    /// ```
    /// # use policy::answer::{Prior, Profile};
    /// # use std::time::Duration;
    /// let profile = Profile::new(Prior { tokens: 50.0, latency: Duration::from_secs(1) });
    /// assert_eq!(profile.latency(), Duration::from_secs(1));
    /// ```
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.value())
    }

    /// Returns the 95th percentile of the time until the answer is complete, at least the expected
    /// time.
    ///
    /// ```
    /// # use policy::answer::{Prior, Profile};
    /// # use std::time::Duration;
    /// let profile = Profile::new(Prior { tokens: 50.0, latency: Duration::from_secs(1) });
    /// assert_eq!(profile.tail_latency(), Duration::from_secs(1));
    /// ```
    pub fn tail_latency(&self) -> Duration {
        Duration::from_secs_f64(self.tail_latency.value().max(self.seconds.value()))
    }

    /// Returns the expected cost of an answer to a prompt, in micro-units of money.
    ///
    /// ```
    /// # use policy::answer::{Prior, Profile};
    /// # use std::time::Duration;
    /// let profile = Profile::new(Prior { tokens: 500.0, latency: Duration::from_secs(1) });
    /// let version: contract::Version =
    ///     serde_json::from_str(r#"{"name":"1","input_micros":100,"output_micros":400}"#)?;
    /// assert_eq!(profile.cost(&version, 1_000), 300);
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn cost(&self, version: &Version, prompt_tokens: u64) -> Micros {
        let input = prompt_tokens as f64 * version.input_micros as f64;
        let output = self.tokens.value() * version.output_micros as f64;
        ((input + output) / TOKENS_PER_PRICE).round() as Micros
    }
}
