//! What one answer of a version takes.

use crate::answer::{Mean, Quantile};
use contract::{Micros, Version};
use std::time::Duration;

/// Share of answers that the tail covers.
const TAIL: f64 = 0.95;

/// Tokens per price unit.
const PRICED_TOKENS: f64 = 1_000.0;

/// Smallest expected time of an answer in seconds.
const MIN_SECONDS: f64 = 0.001;

/// What is expected before anything is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// Tokens of an answer.
    pub tokens: f64,
    /// Time to the whole answer.
    pub latency: Duration,
}

/// What one answer of a version at a task takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    tokens: Mean,
    seconds: Mean,
    tail_latency: Quantile,
}

impl Profile {
    /// A profile that starts from what is expected.
    ///
    /// ```
    /// use policy::answer::{Prior, Profile};
    /// use std::time::Duration;
    /// let prior = Prior { tokens: 50.0, latency: Duration::from_secs(1) };
    /// assert_eq!(Profile::new(prior).latency(), Duration::from_secs(1));
    /// ```
    pub fn new(prior: Prior) -> Self {
        let seconds = prior.latency.as_secs_f64().max(MIN_SECONDS);
        Self {
            tokens: Mean::new(prior.tokens),
            seconds: Mean::new(seconds),
            tail_latency: Quantile::new(TAIL, seconds),
        }
    }

    /// Takes in a whole answer.
    ///
    /// ```
    /// # use policy::answer::{Prior, Profile};
    /// # use std::time::Duration;
    /// let mut profile = Profile::new(Prior { tokens: 50.0, latency: Duration::from_secs(1) });
    /// profile.observe(100, Duration::from_secs(3));
    /// assert_eq!(profile.latency(), Duration::from_secs(2));
    /// ```
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        self.tokens.observe(tokens as f64);
        self.seconds.observe(took.as_secs_f64());
        self.tail_latency.observe(took.as_secs_f64());
    }

    /// Expected time to the whole answer.
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

    /// Time within which 95 in 100 answers are whole.
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

    /// Expected cost of an answer to a prompt, in micro-units of money.
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
        ((input + output) / PRICED_TOKENS).round() as Micros
    }
}
