//! The plan chosen for a request.

use contract::{Micros, ModelId, VersionId};
use policy::plan::{Explanation, Mode};
use std::time::Duration;

/// The plan chosen for a request, with model and version names instead of indices.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Model and version that are tried first.
    pub first: (ModelId, VersionId),
    /// Model and version used if the first fails or its answer is rated bad.
    pub fallback: Option<(ModelId, VersionId)>,
    /// Rule by which the plan was chosen.
    pub mode: Mode,
    /// Whether the first answer is sampled for the rating service.
    pub needs_rating: bool,
    /// Expected cost in micro-units of currency.
    pub cost: f64,
    /// Upper bound of the cost in micro-units of currency. It relies on the estimated number of
    /// prompt tokens.
    pub max_cost: Micros,
    /// Expected time to the complete answer.
    pub latency: Duration,
    /// Why this plan was chosen and the other ones weren't.
    pub explanation: Explanation,
}
