//! Sequential probability ratio test for a drop in quality.

use crate::quality::Counts;
use crate::rollout::Settings;

/// Highest share of bad answers of the alternative hypothesis, 0 to 1.
const MAX_BAD_SHARE: f64 = 0.98;

/// A sequential probability ratio test (SPRT) of "the share of bad answers has increased" against
/// "it is as expected".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sprt {
    /// Log-likelihood ratio of one good answer.
    good: f64,
    /// Log-likelihood ratio of one bad answer.
    bad: f64,
}

impl Sprt {
    /// Creates a test against the expected share of good answers.
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Settings, Sprt}};
    /// let sprt = Sprt::new(&Settings::default(), 0.95);
    /// assert!(sprt.log_likelihood_ratio(Counts::from_rating(false)) > 0.0);
    /// assert!(sprt.log_likelihood_ratio(Counts::from_rating(true)) < 0.0);
    /// ```
    pub fn new(settings: &Settings, expected_quality: f64) -> Self {
        let ceiling = MAX_BAD_SHARE - settings.detectable_increase;
        let expected_bad = (1.0 - expected_quality).clamp(settings.min_bad_share, ceiling);
        let increased_bad = expected_bad + settings.detectable_increase;
        Self {
            good: ((1.0 - increased_bad) / (1.0 - expected_bad)).ln(),
            bad: (increased_bad / expected_bad).ln(),
        }
    }

    /// Returns the log-likelihood ratio of counts. Positive values indicate an increased share of
    /// bad answers.
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Settings, Sprt}};
    /// let sprt = Sprt::new(&Settings::default(), 0.9);
    /// assert_eq!(sprt.log_likelihood_ratio(Counts::default()), 0.0);
    /// ```
    pub fn log_likelihood_ratio(&self, counts: Counts) -> f64 {
        counts.good * self.good + counts.bad * self.bad
    }
}
