//! Settings of the quality estimates.

use std::time::Duration;

/// How ratings become estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Half-life of ratings.
    pub half_life: Duration,
    /// Weight of a version's prior quality, in ratings.
    pub prior_weight: f64,
    /// Maximum weight of other customers' ratings, in ratings.
    pub max_shared_weight: f64,
    /// Standard deviations between the mean and each bound.
    pub bound_deviations: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(600),
            prior_weight: 8.0,
            max_shared_weight: 150.0,
            bound_deviations: 1.0,
        }
    }
}
