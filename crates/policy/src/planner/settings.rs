//! Settings of the planner.

use crate::{quality, rollout};
use std::time::Duration;

/// How a planner learns and explores.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Quality estimates.
    pub quality: quality::Settings,
    /// Trials and demotions.
    pub rollout: rollout::Settings,
    /// Share of requests planned on upper bounds in place of lower ones, 0 to 1.
    pub exploration: f64,
    /// How far below a target a plan may be that is mixed with a better one, 0 to 1.
    pub quality_slack: f64,
    /// Share of answers that are rated although nothing asks for it, 0 to 1.
    pub sampled_ratings: f64,
    /// Ratings below which every answer of a version is rated.
    pub warmup_ratings: f64,
    /// Quality on requests that another version has failed, relative to the quality on all.
    pub escalated_ratio: f64,
    /// Time after a deadline at which an answer on trial counts as lost.
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
