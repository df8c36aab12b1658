//! The plan chosen for a request.

use contract::{Micros, ModelId, VersionId};
use policy::plan::{Explanation, Mode};
use std::time::Duration;

/// A plan with names in place of indices.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Model and version that answer first.
    pub first: (ModelId, VersionId),
    /// Model and version that answer where the first is rated bad.
    pub fallback: Option<(ModelId, VersionId)>,
    /// Under which rule the plan was chosen.
    pub mode: Mode,
    /// Whether the first answer is a sample for the rating service.
    pub needs_rating: bool,
    /// Expected cost in micro-units of money.
    pub cost: f64,
    /// Most that the plan can cost in micro-units of money, as far as the prompt's tokens are known.
    pub max_cost: Micros,
    /// Expected time to the answer.
    pub latency: Duration,
    /// Why the plan was chosen, and why the others were not.
    pub explanation: Explanation,
}
