//! Model cascade: the smallest model answers first, and the largest one is asked if the first is not
//! confident.

use crate::Model;

/// Confidence of a model in its answer, from 0 to 100, below which a larger model is asked.
const MIN_CONFIDENCE: f64 = 50.0;
/// The same threshold on fully contended engines: every answer of the smallest model is accepted.
const MIN_CONFIDENCE_CONTENDED: f64 = 0.0;
/// Range of contention over which the threshold falls. Contention is the duration of an engine's step
/// in relation to that of an idle engine.
const CONTENTION_RANGE: (f64, f64) = (3.5, 7.0);
/// Time of the smallest model in relation to a medium-sized one.
const SMALLEST_TIME: f64 = 0.3;
/// Time of a model in relation to the next smaller one.
const SIZE_FACTOR: f64 = 3.2;

/// Returns the model that is asked first.
///
/// ```
/// let models = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::cascade::first(&models), Some("small"));
/// ```
pub fn first(models: &[Model]) -> Option<&str> {
    models.first().map(Model::as_str)
}

/// Returns the model to ask after `model` answered with this confidence, or `None` if the answer is
/// accepted. On contended engines fewer requests escalate, because the largest model slows many
/// others down.
///
/// ```
/// let models = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::cascade::escalate(&models, "small", 40.0, 1.0), Some("large"));
/// assert_eq!(route::cascade::escalate(&models, "small", 40.0, 9.0), None);
/// assert_eq!(route::cascade::escalate(&models, "small", 90.0, 1.0), None);
/// assert_eq!(route::cascade::escalate(&models, "large", 10.0, 1.0), None);
/// ```
pub fn escalate<'a>(
    models: &'a [Model],
    model: &str,
    confidence: f64,
    contention: f64,
) -> Option<&'a str> {
    let (from, to) = CONTENTION_RANGE;
    let contended = ((contention - from) / (to - from)).clamp(0.0, 1.0);
    let min_confidence = MIN_CONFIDENCE + (MIN_CONFIDENCE_CONTENDED - MIN_CONFIDENCE) * contended;
    let largest = models.last()?;
    (confidence < min_confidence && largest != model).then_some(largest.as_str())
}

/// Returns the estimated time of a model in relation to a medium-sized one.
///
/// ```
/// let models = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::cascade::relative_time(&models, "small"), 0.3);
/// ```
pub fn relative_time(models: &[Model], model: &str) -> f64 {
    let index = models.iter().position(|name| name == model).unwrap_or(0);
    SMALLEST_TIME * SIZE_FACTOR.powi(index as i32)
}
