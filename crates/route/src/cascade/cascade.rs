//! A cascade: the smallest model first, the largest where the first doubts its answer.

use crate::Model;

/// Opinion of a model of its answer, 0 to 100, below which a larger one is asked.
const DOUBT: f64 = 50.0;
/// The same on crowded engines: what the smallest model gave stands.
const LEAST_DOUBT: f64 = 0.0;
/// Crowding of engines, in times of the step of an idle one, up to which they aren't crowded, and
/// from which they are.
const CROWDED: (f64, f64) = (3.5, 7.0);
/// Time of the smallest model, in those of a model of middle size.
const SMALLEST_PACE: f64 = 0.3;
/// How many times the time of a model the next larger one takes.
const PACE_STEP: f64 = 3.2;

/// The model that is asked first.
///
/// ```
/// let sizes = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::size::first(&sizes), Some("small"));
/// ```
pub fn first(sizes: &[Model]) -> Option<&str> {
    sizes.first().map(Model::as_str)
}

/// The model that is asked after one that gave this opinion of its answer; none when it stands. On
/// crowded engines, where the largest model slows many others, fewer are asked again.
///
/// ```
/// let sizes = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::size::escalate(&sizes, "small", 40.0, 1.0), Some("large"));
/// assert_eq!(route::size::escalate(&sizes, "small", 40.0, 9.0), None);
/// assert_eq!(route::size::escalate(&sizes, "small", 90.0, 1.0), None);
/// assert_eq!(route::size::escalate(&sizes, "large", 10.0, 1.0), None);
/// ```
pub fn escalate<'a>(
    sizes: &'a [Model],
    model: &str,
    confidence: f64,
    crowding: f64,
) -> Option<&'a str> {
    let (from, to) = CROWDED;
    let crowded = ((crowding - from) / (to - from)).clamp(0.0, 1.0);
    let doubt = DOUBT + (LEAST_DOUBT - DOUBT) * crowded;
    let largest = sizes.last()?;
    (confidence < doubt && largest != model).then_some(largest.as_str())
}

/// How many times the time of a model of middle size a model is taken to need.
///
/// ```
/// let sizes = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(route::size::pace(&sizes, "small"), 0.3);
/// ```
pub fn relative_time(sizes: &[Model], model: &str) -> f64 {
    let index = sizes.iter().position(|size| size == model).unwrap_or(0);
    SMALLEST_PACE * PACE_STEP.powi(index as i32)
}
