//! What a planner decides and learns.

use crate::plan::{Explanation, Plan};
use crate::quality::Subject;
use crate::rollout::Event;
use contract::{ModelId, TaskId, VersionId};

/// A plan with what goes with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The plan; its indices are those of the offers.
    pub plan: Plan,
    /// Whether the first answer is rated although no cascade asks for it.
    pub needs_rating: bool,
    /// Why the plan was chosen.
    pub explanation: Explanation,
}

/// A rated answer.
#[derive(Clone, Copy, Debug)]
pub struct Rating<'a> {
    /// What was rated.
    pub subject: Subject<'a>,
    /// Whether another version had failed at the request.
    pub escalated: bool,
    /// Whether the answer was good.
    pub good: bool,
}

/// A version changed its standing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// Model of the version.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Task for which it changed; none for all.
    pub task: Option<TaskId>,
    /// What changed.
    pub event: Event,
}
