//! How long engines of a service take.

use super::{Prior, Regression, Settings};

/// How long engines of a service take, learned from their answers.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    /// Milliseconds of one decoding step, by the weight of the requests beside each other.
    pub step: Regression,
    /// Milliseconds to the first event, by the tokens that are read before.
    pub prefill: Regression,
}

/// The speeds of engines, as a law has them at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// Milliseconds of a decoding step with no request.
    pub step: f64,
    /// Milliseconds that a request of weight one adds to it.
    pub step_per_weight: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_rate: f64,
}

impl Estimator {
    /// What is assumed before any answer.
    ///
    /// ```
    /// use route::pool::{Law, Settings};
    /// let law = Law::new(&Settings::default());
    /// assert!(law.crowding(29.0) > 2.0);
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

    /// The speeds at this moment.
    pub fn speeds(&self) -> Speeds {
        Speeds {
            step: self.step.intercept(),
            step_per_weight: self.step.slope(),
            prefill_rate: 1.0 / self.prefill.slope(),
        }
    }

    /// How many times as long a step takes beside other requests of this weight as alone.
    pub fn contention(&self, weight: f64) -> f64 {
        self.step.predict(weight) / self.step.intercept()
    }
}
