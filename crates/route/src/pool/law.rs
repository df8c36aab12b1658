//! How long engines of a service take.

use super::{Line, Prior, Settings};

/// How long engines of a service take, learned from their answers.
#[derive(Clone, Copy, Debug)]
pub struct Law {
    /// Milliseconds of one decoding step, by the weight of the requests beside each other.
    pub step: Line,
    /// Milliseconds to the first event, by the tokens that are read before.
    pub reading: Line,
}

impl Law {
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
            step: Line::new(Prior {
                base: millis(settings.step),
                slope: millis(settings.step_per_weight),
                usual: settings.usual_weight,
            }),
            reading: Line::new(Prior {
                base: millis(settings.first_event),
                slope: 1.0 / settings.read_rate,
                usual: settings.usual_unread,
            }),
        }
    }

    /// Prompt tokens that an engine reads in a millisecond.
    pub fn read_rate(&self) -> f64 {
        1.0 / self.reading.slope()
    }

    /// How many times as long a step takes beside other requests of this weight as alone.
    pub fn crowding(&self, weight: f64) -> f64 {
        self.step.at(weight) / self.step.base()
    }
}
