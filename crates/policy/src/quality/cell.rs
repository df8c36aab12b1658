//! Counts that nodes exchange.

use crate::quality::{Counts, Subject};
use contract::{CustomerId, Incarnation, ModelId, NodeId, TaskId, VersionId};

/// The node that recorded the counts, and its incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node. A restarted node counts from zero.
    pub incarnation: Incarnation,
}

/// Decayed counts of one node for one subject.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Task of the requests.
    pub task: TaskId,
    /// Customer that sent the requests.
    pub customer: CustomerId,
    /// Sequence number, which increases with each change of the counts.
    pub sequence: u64,
    /// Good answers, decayed to the time of sending.
    pub good: f64,
    /// Bad answers, decayed to the time of sending.
    pub bad: f64,
}

/// Difference between new and known counts of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delta {
    /// The new counts minus the known ones.
    pub counts: Counts,
    /// Whether no counts of the peer were known. The difference then includes older answers.
    pub initial: bool,
}

impl Cell {
    /// Returns the subject of the counts.
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
