//! Settings of trials and of the watch over versions in service.

use std::time::Duration;

/// When a version is promoted and demoted.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Rise of the share of bad answers that must be found, 0 to 1.
    pub detectable_increase: f64,
    /// Smallest share of bad answers that is expected of a sound version, 0 to 1.
    pub min_bad_share: f64,
    /// Probability that a trial ends the wrong way.
    pub error_probability: f64,
    /// Log likelihood ratio at which a version in service is demoted.
    pub alarm_threshold: f64,
    /// Bad answers that a demoted version may give in a new trial.
    pub retrial_budget: f64,
    /// Time until a demoted version's first new trial; it doubles with each demotion.
    pub cooldown: Duration,
    /// Longest time until a new trial.
    pub max_cooldown: Duration,
    /// Time in service after which earlier demotions are forgotten.
    pub demotions_reset_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            detectable_increase: 0.15,
            min_bad_share: 0.05,
            error_probability: 0.01,
            alarm_threshold: 9.0,
            retrial_budget: 8.0,
            cooldown: Duration::from_secs(60),
            max_cooldown: Duration::from_secs(3600),
            demotions_reset_after: Duration::from_secs(1800),
        }
    }
}
