//! Log likelihood ratio of "turned bad" against "as good as expected".

use crate::quality::Counts;
use crate::rollout::Settings;

/// Highest share of bad answers that the test tells apart, 0 to 1.
const MAX_BAD: f64 = 0.98;

/// A sequential probability ratio test on the share of bad answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sprt {
    good: f64,
    bad: f64,
}

impl Sprt {
    /// A test against a reference share of good answers.
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Settings, Sprt}};
    /// let test = Sprt::new(&Settings::default(), 0.95);
    /// assert!(test.log_likelihood_ratio(Counts::from_rating(false)) > 0.0);
    /// assert!(test.log_likelihood_ratio(Counts::from_rating(true)) < 0.0);
    /// ```
    pub fn new(settings: &Settings, reference: f64) -> Self {
        let ceiling = MAX_BAD - settings.detectable_increase;
        let sound = (1.0 - reference).clamp(settings.min_bad_share, ceiling);
        let turned = sound + settings.detectable_increase;
        Self {
            good: ((1.0 - turned) / (1.0 - sound)).ln(),
            bad: (turned / sound).ln(),
        }
    }

    /// Log likelihood ratio of counts; above zero speaks for "turned bad".
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Settings, Sprt}};
    /// let test = Sprt::new(&Settings::default(), 0.9);
    /// assert_eq!(test.log_likelihood_ratio(Counts::default()), 0.0);
    /// ```
    pub fn log_likelihood_ratio(&self, counts: Counts) -> f64 {
        counts.good * self.good + counts.bad * self.bad
    }
}
