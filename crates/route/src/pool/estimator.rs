//! Latency estimates of a service's engines.

use super::{Prior, Regression, Settings};
use std::time::Duration;

/// Fraction of the target latency for which an engine may send no event.
const TARGET_RATIO: f64 = 0.6;
/// Multiple of the expected time to the first event for which an engine may send none.
const EXPECTED_RATIO: f64 = 2.0;

/// Latency model of a service's engines, learned from their answers.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    /// Milliseconds of one decoding step, by the total weight of the concurrent requests.
    pub step: Regression,
    /// Milliseconds to the first event, by the number of prompt tokens to process before it.
    pub prefill: Regression,
}

/// Speeds of engines as currently estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// Milliseconds of a decoding step without any request.
    pub step: f64,
    /// Milliseconds that a request of weight 1 adds to a decoding step.
    pub step_per_weight: f64,
    /// Prompt tokens processed per millisecond.
    pub prefill_rate: f64,
}

impl Estimator {
    /// Creates an estimator that knows only the assumptions of the settings.
    ///
    /// ```
    /// use route::pool::{Estimator, Settings};
    /// let estimator = Estimator::new(&Settings::default());
    /// assert!(estimator.contention(29.0) > 2.0);
    /// ```
    pub fn new(settings: &Settings) -> Self {
        let millis = |time: std::time::Duration| time.as_secs_f64() * 1e3;
        Self {
            step: Regression::new(Prior {
                intercept: millis(settings.step),
                slope: millis(settings.step_per_weight),
                typical: settings.typical_weight,
            }),
            prefill: Regression::new(Prior {
                intercept: millis(settings.first_event),
                slope: 1.0 / settings.prefill_rate,
                typical: settings.typical_prefill,
            }),
        }
    }

    /// Returns the current speeds.
    pub fn speeds(&self) -> Speeds {
        Speeds {
            step: self.step.intercept(),
            step_per_weight: self.step.slope(),
            prefill_rate: 1.0 / self.prefill.slope(),
        }
    }

    /// Returns the time after which an engine that has sent no event is left for another one. `tokens`
    /// are those of the prompt, as a medium-sized model processes them. A long prompt gets the time that
    /// an engine takes to process it, since another one would have to start anew.
    ///
    /// ```
    /// use route::pool::{Estimator, Settings};
    /// use std::time::Duration;
    /// let (estimator, target) = (Estimator::new(&Settings::default()), Duration::from_secs(1));
    /// assert_eq!(estimator.first_event_timeout(1000.0, target), Duration::from_millis(600));
    /// assert!(estimator.first_event_timeout(55_000.0, target) > Duration::from_secs(2));
    /// ```
    pub fn first_event_timeout(&self, tokens: f64, target: Duration) -> Duration {
        let expected = Duration::from_secs_f64(self.prefill.predict(tokens).max(0.0) / 1e3);
        let floor = target.mul_f64(TARGET_RATIO);
        floor.max(expected.mul_f64(EXPECTED_RATIO))
    }

    /// Returns the relative time of the slowest model that processes a prompt of so many tokens within
    /// `millis`.
    ///
    /// ```
    /// use route::pool::{Estimator, Settings};
    /// let estimator = Estimator::new(&Settings::default());
    /// assert!(estimator.slowest_within(10_000.0, 600.0) > 3.0);
    /// assert!(estimator.slowest_within(60_000.0, 600.0) < 1.0);
    /// ```
    pub fn slowest_within(&self, tokens: f64, millis: f64) -> f64 {
        let left = (millis - self.prefill.intercept()).max(0.0);
        left / (tokens.max(1.0) * self.prefill.slope())
    }

    /// Returns the duration of a step with concurrent requests of this total weight, in relation to
    /// that of a step without any.
    pub fn contention(&self, weight: f64) -> f64 {
        self.step.predict(weight) / self.step.intercept()
    }
}
