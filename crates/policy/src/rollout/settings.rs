//! Settings of trials and of the monitoring of versions in service.

use std::time::Duration;

/// Thresholds of promotion and demotion.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Smallest increase of the share of bad answers to detect, 0 to 1.
    pub detectable_increase: f64,
    /// Smallest share of bad answers assumed for a good version, 0 to 1.
    pub min_bad_share: f64,
    /// Probability of a wrong decision at the end of a trial, in either direction.
    pub error_probability: f64,
    /// Log-likelihood ratio at which a version in service is demoted.
    pub alarm_threshold: f64,
    /// Bad answers allowed in a retrial of a demoted version.
    pub retrial_budget: f64,
    /// Time until the first retrial of a demoted version. It doubles with each demotion.
    pub cooldown: Duration,
    /// Maximum time until a retrial.
    pub max_cooldown: Duration,
    /// Time in service after which earlier demotions no longer count.
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
