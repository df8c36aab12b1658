//! Settings of the planner.

use crate::{quality, rollout};
use std::time::Duration;

/// Settings of learning and exploration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Quality estimates.
    pub quality: quality::Settings,
    /// Trials and demotions of versions.
    pub rollout: rollout::Settings,
    /// Share of requests planned on the upper bounds of the quality estimates in place of the lower
    /// ones, 0 to 1.
    pub exploration: f64,
    /// How far below a quality target a plan may be to be mixed with a better one, 0 to 1.
    pub quality_slack: f64,
    /// Share of answers that are rated as a random sample, 0 to 1.
    pub sampled_ratings: f64,
    /// Number of ratings below which every answer of a version is rated.
    pub warmup_ratings: f64,
    /// Prior quality on requests that another version has failed, relative to the quality on all
    /// requests.
    pub escalated_ratio: f64,
    /// Time after the deadline at which the rating of an answer on trial counts as lost.
    pub rating_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quality: quality::Settings::default(),
            rollout: rollout::Settings::default(),
            exploration: 0.04,
            quality_slack: 0.1,
            sampled_ratings: 0.1,
            warmup_ratings: 60.0,
            escalated_ratio: 0.9,
            rating_timeout: Duration::from_secs(10),
        }
    }
}
