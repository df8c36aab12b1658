//! Counters as nodes exchange them.

use crate::quality::{Counts, Subject};
use contract::{CustomerId, Incarnation, ModelId, NodeId, TaskId, VersionId};

/// The node that counted, and its incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node; a restarted node counts from zero.
    pub incarnation: Incarnation,
}

/// One node's own decayed counts for one subject.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Task of the requests.
    pub task: TaskId,
    /// Customer that asked.
    pub customer: CustomerId,
    /// Grows with each change of the counts.
    pub sequence: u64,
    /// Good answers, decayed to the time of sending.
    pub good: f64,
    /// Bad answers, decayed to the time of sending.
    pub bad: f64,
}

/// By how much a peer's counts grew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delta {
    /// The difference to what was known.
    pub counts: Counts,
    /// Whether nothing was known: then the counts hold older answers too.
    pub initial: bool,
}

impl Cell {
    /// What the counts are about.
    ///
    /// ```
    /// let cell = policy::quality::Cell {
    ///     model: "small".into(), version: "1".into(), task: "tag".into(), customer: "c".into(),
    ///     sequence: 1, good: 1.0, bad: 0.0,
    /// };
    /// assert_eq!(cell.subject().task, "tag");
    /// ```
    pub fn subject(&self) -> Subject<'_> {
        Subject {
            model: &self.model,
            version: &self.version,
            task: &self.task,
            customer: &self.customer,
        }
    }
}
