//! Settings of the quality estimates.

use std::time::Duration;

/// How ratings turn into estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time after which a rating counts half.
    pub half_life: Duration,
    /// Weight of the version's prior, in ratings.
    pub prior_weight: f64,
    /// Most that other customers' ratings may weigh, in ratings.
    pub max_shared_weight: f64,
    /// Standard deviations between the mean and the lower bound.
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
