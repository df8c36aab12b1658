//! What is learned of one version apart from its quality.

use crate::answer::Profile;
use crate::plan::Status;
use crate::rollout::{Intent, Monitor, Settings};
use contract::{Map, TaskId};
use std::time::Instant;

/// What is learned of one version.
#[derive(Debug)]
pub(super) struct Learned {
    /// Over all tasks; it alone judges trials of roll-outs.
    pub(super) watch: Monitor,
    pub(super) tasks: Map<TaskId, Task>,
    /// When answers on trial that aren't rated yet count as lost.
    pub(super) outstanding: Vec<Instant>,
}

/// What is learned of one version at one task.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) watch: Monitor,
    pub(super) profile: Option<Profile>,
}

impl Learned {
    pub(super) fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            watch: Monitor::new(settings.clone(), Intent::None, now),
            tasks: Map::default(),
            outstanding: Vec::new(),
        }
    }

    pub(super) fn task(&mut self, settings: &Settings, now: Instant, task: &str) -> &mut Task {
        if !self.tasks.contains_key(task) {
            let watch = Monitor::new(settings.clone(), Intent::None, now);
            let profile = None;
            self.tasks.insert(task.to_owned(), Task { watch, profile });
        }
        self.tasks
            .get_mut(task)
            .expect("the task was inserted above")
    }

    /// The worse of the standings over all tasks and at one.
    pub(super) fn status(&self, task: &str) -> Status {
        let here = self
            .tasks
            .get(task)
            .map_or(Status::Serving, |task| task.watch.status());
        match (self.watch.status(), here) {
            (Status::Demoted, _) | (_, Status::Demoted) => Status::Demoted,
            (Status::Trial, _) | (_, Status::Trial) => Status::Trial,
            _ => Status::Serving,
        }
    }

    pub(super) fn is_suspect(&self, task: &str) -> bool {
        let here = self.tasks.get(task);
        self.watch.is_suspect() || here.is_some_and(|task| task.watch.is_suspect())
    }

    /// The watch that holds the trial.
    pub(super) fn trial(&self, task: &str) -> &Monitor {
        match self.tasks.get(task) {
            Some(here) if self.watch.status() == Status::Serving => &here.watch,
            _ => &self.watch,
        }
    }
}
