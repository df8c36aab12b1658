//! What a planner knows, for the state dump.

use crate::plan::Status;
use crate::planner::knowledge::Knowledge;
use crate::quality::Subject;
use contract::{ModelId, TaskId, VersionId};
use serde::Serialize;
use std::time::Instant;

/// What is known of one version at one task.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Task.
    pub task: TaskId,
    /// Where the version stands at the task.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Decayed good answers of all customers.
    pub good: f64,
    /// Decayed bad answers of all customers.
    pub bad: f64,
    /// Expected milliseconds to a whole answer.
    pub latency_ms: Option<u64>,
    /// Milliseconds that 95 in 100 answers keep.
    pub tail_ms: Option<u64>,
}

impl Knowledge {
    pub(super) fn rows(&self, now: Instant) -> Vec<Row> {
        let mut rows = Vec::new();
        for (model, versions) in &self.versions {
            for (version, learned) in versions {
                for (task, here) in &learned.tasks {
                    let subject = Subject {
                        model,
                        version,
                        task,
                        customer: "",
                    };
                    let counts = self.table.counts(now, subject);
                    let profile = here.profile;
                    rows.push(Row {
                        model: model.clone(),
                        version: version.clone(),
                        task: task.clone(),
                        status: learned.status(task),
                        good: counts.good,
                        bad: counts.bad,
                        latency_ms: profile.map(|one| one.latency().as_millis() as u64),
                        tail_ms: profile.map(|one| one.tail_latency().as_millis() as u64),
                    });
                }
            }
        }
        rows.sort_by(|a, b| (&a.model, &a.version, &a.task).cmp(&(&b.model, &b.version, &b.task)));
        rows
    }
}
