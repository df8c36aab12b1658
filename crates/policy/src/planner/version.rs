//! Learned state of one version, apart from its quality.

use crate::plan::Status;
use crate::planner::task::Task;
use crate::rollout::{Intent, Monitor, Settings};
use contract::{Map, TaskId};
use std::time::Instant;

/// Learned state of one version.
#[derive(Debug)]
pub(super) struct Version {
    /// Monitor over all tasks. Only this one follows the roll-outs of operators.
    pub(super) monitor: Monitor,
    pub(super) tasks: Map<TaskId, Task>,
    /// Unrated answers of the trial, each as the time at which its rating counts as lost.
    pub(super) outstanding: Vec<Instant>,
}

impl Version {
    pub(super) fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            monitor: Monitor::new(settings.clone(), Intent::None, now),
            tasks: Map::default(),
            outstanding: Vec::new(),
        }
    }

    pub(super) fn task_mut(&mut self, settings: &Settings, now: Instant, task: &str) -> &mut Task {
        if !self.tasks.contains_key(task) {
            let monitor = Monitor::new(settings.clone(), Intent::None, now);
            let profile = None;
            self.tasks
                .insert(task.to_owned(), Task { monitor, profile });
        }
        self.tasks
            .get_mut(task)
            .expect("the task was inserted above")
    }

    /// Returns the worse of the status over all tasks and the status for this task.
    pub(super) fn status(&self, task: &str) -> Status {
        let task_state = self
            .tasks
            .get(task)
            .map_or(Status::Serving, |task| task.monitor.status());
        match (self.monitor.status(), task_state) {
            (Status::Demoted, _) | (_, Status::Demoted) => Status::Demoted,
            (Status::Trial, _) | (_, Status::Trial) => Status::Trial,
            _ => Status::Serving,
        }
    }

    pub(super) fn is_suspect(&self, task: &str) -> bool {
        let task_state = self.tasks.get(task);
        self.monitor.is_suspect() || task_state.is_some_and(|task| task.monitor.is_suspect())
    }

    /// Returns the monitor that runs the trial.
    pub(super) fn trial_monitor(&self, task: &str) -> &Monitor {
        match self.tasks.get(task) {
            Some(task_state) if self.monitor.status() == Status::Serving => &task_state.monitor,
            _ => &self.monitor,
        }
    }
}
