//! How long work takes as a rule.

use crate::{Model, ServiceName};
use contract::Map;

/// Weight of a new observation in a mean.
const WEIGHT: f64 = 0.05;
/// Observations without which a mean says nothing.
const LEAST: u32 = 10;
/// Largest multiple of the mean that an observation counts as, so that outliers move it little.
const MOST: f64 = 3.0;

/// What is timed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// From the send to the first event of a stream.
    First,
    /// From one event of a stream to the next.
    Pace,
    /// From the send to the end of a whole answer.
    Whole,
}

/// Mean times by service, model and stage.
#[derive(Clone, Debug, Default)]
pub struct Norms(Map<(ServiceName, Model, Stage), (f64, u32)>);

impl Norms {
    /// How many times the mean an observation in milliseconds is; none while too little is known.
    /// One that is a reference moves the mean.
    ///
    /// ```
    /// use route::pool::{Norms, Stage};
    /// let mut norms = Norms::default();
    /// let mut see = |millis| norms.ratio("s", "m", Stage::Pace, millis, true);
    /// (0..10).for_each(|_| assert_eq!(see(20.0), None));
    /// assert_eq!(see(60.0), Some(3.0));
    /// ```
    pub fn ratio(
        &mut self,
        service: &str,
        model: &str,
        stage: Stage,
        millis: f64,
        reference: bool,
    ) -> Option<f64> {
        let key = (service.to_owned(), model.to_owned(), stage);
        let (mean, count) = self.0.entry(key).or_insert((millis, 0));
        let ratio = (*count >= LEAST && *mean > 0.0).then(|| millis / *mean);
        if reference {
            let bounded = millis.min(*mean * MOST);
            let weight = WEIGHT.max(1.0 / f64::from(*count + 1));
            *mean += weight * (bounded - *mean);
            *count = count.saturating_add(1);
        }
        ratio
    }
}
