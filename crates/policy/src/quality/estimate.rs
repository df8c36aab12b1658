//! Quality estimates with confidence bounds.

use crate::quality::Counts;
use serde::Serialize;

/// Estimated share of good answers of a version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean of the posterior, 0 to 1.
    pub mean: f64,
    /// Lower bound of the posterior, 0 to 1.
    pub lower: f64,
    /// Upper bound of the posterior, 0 to 1.
    pub upper: f64,
    /// Number of ratings that the estimate rests on, including the weight of the prior.
    pub weight: f64,
}

impl Estimate {
    /// Creates an estimate without uncertainty.
    ///
    /// ```
    /// let estimate = policy::quality::Estimate::exact(0.9);
    /// assert_eq!(estimate.mean, estimate.lower);
    /// ```
    pub fn exact(share: f64) -> Self {
        Self {
            mean: share,
            lower: share,
            upper: share,
            weight: f64::INFINITY,
        }
    }

    /// Creates the estimate of a beta posterior with the given counts. The bounds are `deviations`
    /// standard deviations from the mean.
    ///
    /// ```
    /// use policy::quality::{Counts, Estimate};
    /// let estimate = Estimate::beta(Counts { good: 9.0, bad: 1.0 }, 1.0);
    /// assert_eq!(estimate.mean, 0.9);
    /// assert!(estimate.lower < 0.9);
    /// ```
    pub fn beta(counts: Counts, deviations: f64) -> Self {
        let weight = counts.total();
        let mean = counts.good / weight;
        let deviation = (mean * (1.0 - mean) / (weight + 1.0)).sqrt();
        Self {
            mean,
            lower: (mean - deviations * deviation).max(0.0),
            upper: (mean + deviations * deviation).min(1.0),
            weight,
        }
    }
}
