//! Inputs and outputs of the planner.

use crate::plan::{Explanation, Plan};
use crate::quality::Subject;
use crate::rollout::Event;
use contract::{ModelId, TaskId, VersionId};

/// A plan with its explanation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The plan; its indices refer to the offers.
    pub plan: Plan,
    /// Whether to rate the first answer even if the plan isn't a cascade.
    pub needs_rating: bool,
    /// Why the plan was chosen.
    pub explanation: Explanation,
}

/// Rating of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Rating<'a> {
    /// Subject of the rating.
    pub subject: Subject<'a>,
    /// Whether another version had failed on the request.
    pub escalated: bool,
    /// Whether the answer was good.
    pub good: bool,
}

/// Change of a version's roll-out stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// Model of the version.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Task for which the stage changed; `None` for all tasks.
    pub task: Option<TaskId>,
    /// The kind of change.
    pub event: Event,
}
