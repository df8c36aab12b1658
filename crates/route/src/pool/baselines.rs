//! Baseline latencies.

use crate::{Model, ServiceName};
use contract::Map;

/// Minimum weight of a new observation in a mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Minimum relative step by which an observation moves a median.
const MEDIAN_STEP: f64 = 0.08;
/// Number of observations below which a mean or a median is not used.
const MIN_OBSERVATIONS: u32 = 10;
/// Factor on the mean at which observations are capped, so that outliers move it little.
const MAX_FACTOR: f64 = 3.0;

/// Stage of a request whose latency is measured.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// From sending the request to the first event of a stream.
    FirstEvent,
    /// From one event of a stream to the next.
    EventInterval,
    /// From sending the request to the end of a non-streaming answer.
    FullAnswer,
}

/// Latency in relation to its baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// In relation to the mean, which a few slow answers raise.
    pub to_mean: f64,
    /// In relation to the median: half of the typical answers are below 1.
    pub to_median: f64,
}

/// Baseline of one service, model and stage, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    mean: f64,
    median: f64,
    count: u32,
}

impl Baseline {
    fn ratio(&self, millis: f64) -> Option<Ratio> {
        let known = self.count >= MIN_OBSERVATIONS && self.mean > 0.0 && self.median > 0.0;
        known.then(|| Ratio {
            to_mean: millis / self.mean,
            to_median: millis / self.median,
        })
    }

    fn add(&mut self, millis: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            (self.mean, self.median) = (millis, millis);
            return;
        }
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        let bounded = millis.min(self.mean * MAX_FACTOR);
        self.mean += weight * (bounded - self.mean);
        // The step is larger at first, because the first observation may be far from the median.
        let step = 1.0 + MEDIAN_STEP.max(1.0 / f64::from(self.count));
        match millis > self.median {
            true => self.median *= step,
            false => self.median /= step,
        }
    }
}

/// Baselines by service, model and stage.
#[derive(Clone, Debug, Default)]
pub struct Baselines(Map<(ServiceName, Model, Stage), Baseline>);

impl Baselines {
    /// Returns the ratio of a latency to its baseline, or `None` while there are too few observations.
    /// If `reference` is set, the latency also updates the baseline.
    ///
    /// ```
    /// use route::pool::{Baselines, Ratio, Stage};
    /// let mut baselines = Baselines::default();
    /// let mut observe = |millis| baselines.ratio("s", "m", Stage::FullAnswer, millis, true);
    /// (0..10).for_each(|_| assert_eq!(observe(20.0), None));
    /// assert_eq!(observe(60.0).map(|ratio| ratio.to_mean), Some(3.0));
    /// ```
    pub fn ratio(
        &mut self,
        service: &str,
        model: &str,
        stage: Stage,
        millis: f64,
        reference: bool,
    ) -> Option<Ratio> {
        let key = (service.to_owned(), model.to_owned(), stage);
        let baseline = self.0.entry(key).or_default();
        let ratio = baseline.ratio(millis);
        if reference {
            baseline.add(millis);
        }
        ratio
    }
}
