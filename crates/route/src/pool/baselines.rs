//! How long work takes as a rule.

use crate::{Model, ServiceName};
use contract::Map;

/// Weight of a new observation in a mean.
const WEIGHT: f64 = 0.05;
/// Part by which an observation moves a median.
const STEP: f64 = 0.08;
/// Observations without which a mean or a median says nothing.
const LEAST: u32 = 10;
/// Largest multiple of the mean that an observation counts as, so that outliers move it little.
const MOST: f64 = 3.0;

/// What is timed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// From the send to the first event of a stream.
    FirstEvent,
    /// From one event of a stream to the next.
    EventInterval,
    /// From the send to the end of a whole answer.
    FullAnswer,
}

/// How many times the usual time something took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// In times of the mean, which a few slow answers raise.
    pub to_mean: f64,
    /// In times of the median: half of the usual answers stay below 1.
    pub to_median: f64,
}

/// Usual times of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Norm {
    mean: f64,
    median: f64,
    count: u32,
}

impl Norm {
    fn ratio(&self, millis: f64) -> Option<Ratio> {
        let known = self.count >= LEAST && self.mean > 0.0 && self.median > 0.0;
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
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        let bounded = millis.min(self.mean * MOST);
        self.mean += weight * (bounded - self.mean);
        // The first ones move it further: it may have begun far off.
        let step = 1.0 + STEP.max(1.0 / f64::from(self.count));
        match millis > self.median {
            true => self.median *= step,
            false => self.median /= step,
        }
    }
}

/// Usual times by service, model and stage.
#[derive(Clone, Debug, Default)]
pub struct Baselines(Map<(ServiceName, Model, Stage), Norm>);

impl Baselines {
    /// How many times the usual time an observation in milliseconds is; none while too little is
    /// known. One that is a reference moves what is usual.
    ///
    /// ```
    /// use route::pool::{Norms, Ratio, Stage};
    /// let mut norms = Norms::default();
    /// let mut see = |millis| norms.ratio("s", "m", Stage::Whole, millis, true);
    /// (0..10).for_each(|_| assert_eq!(see(20.0), None));
    /// assert_eq!(see(60.0).map(|ratio| ratio.to_mean), Some(3.0));
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
        let norm = self.0.entry(key).or_default();
        let ratio = norm.ratio(millis);
        if reference {
            norm.add(millis);
        }
        ratio
    }
}
