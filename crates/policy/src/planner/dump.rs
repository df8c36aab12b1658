//! Rows of the state dump.

use crate::plan::Status;
use crate::planner::state::State;
use crate::quality::Subject;
use contract::{ModelId, TaskId, VersionId};
use serde::Serialize;
use std::time::Instant;

/// Learned state of one version for one task.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Task.
    pub task: TaskId,
    /// Roll-out status of the version for the task.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Decayed number of good answers, over all customers.
    pub good: f64,
    /// Decayed number of bad answers, over all customers.
    pub bad: f64,
    /// Expected time in milliseconds until an answer is complete.
    pub latency_ms: Option<u64>,
    /// 95th percentile of the time in milliseconds until an answer is complete.
    pub tail_ms: Option<u64>,
}

impl State {
    pub(super) fn rows(&self, now: Instant) -> Vec<Row> {
        let mut rows = Vec::new();
        for (model, versions) in &self.versions {
            for (version, version_state) in versions {
                for (task, task_state) in &version_state.tasks {
                    let subject = Subject {
                        model,
                        version,
                        task,
                        customer: "",
                    };
                    let counts = self.table.counts(now, subject);
                    let profile = task_state.profile;
                    rows.push(Row {
                        model: model.clone(),
                        version: version.clone(),
                        task: task.clone(),
                        status: version_state.status(task),
                        good: counts.good,
                        bad: counts.bad,
                        latency_ms: profile.map(|profile| profile.latency().as_millis() as u64),
                        tail_ms: profile.map(|profile| profile.tail_latency().as_millis() as u64),
                    });
                }
            }
        }
        rows.sort_by(|a, b| (&a.model, &a.version, &a.task).cmp(&(&b.model, &b.version, &b.task)));
        rows
    }
}
