//! Learned state of all versions.

use crate::answer::{Prior, Profile};
use crate::planner::task::Task;
use crate::planner::version::Version;
use crate::planner::{Offer, Query, Rating, Settings, Transition};
use crate::quality::{Counts, Delta, Estimate, Subject, Table};
use crate::rollout::{Event, Intent};
use contract::{Config, Map, ModelId, VersionId};
use std::time::Instant;

/// Suffix of the task name under which ratings of escalated requests are counted.
const ESCALATED_SUFFIX: &str = "/escalated";

/// Expected answer length before the first answer, as a share of the maximum.
const PRIOR_LENGTH_SHARE: f64 = 0.5;

/// Expected latency before the first answer, as a share of the deadline.
const PRIOR_LATENCY_SHARE: f64 = 0.25;

/// Prior quality of a version whose configuration gives none, 0 to 1.
const DEFAULT_PRIOR: f64 = 0.5;

/// Quality table, answer profiles and roll-out monitors of all versions.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) table: Table,
    pub(super) versions: Map<ModelId, Map<VersionId, Version>>,
    /// Prior qualities from the configuration.
    priors: Map<ModelId, Map<VersionId, f64>>,
}

impl State {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            table: Table::new(settings.quality.clone()),
            settings,
            versions: Map::default(),
            priors: Map::default(),
        }
    }

    /// Applies the models and roll-outs of a configuration.
    pub(super) fn configure(&mut self, now: Instant, config: &Config) {
        self.priors.clear();
        for model in config.models() {
            let priors = model.versions.iter();
            let priors = priors.map(|version| (version.name.clone(), prior(version)));
            self.priors.insert(model.name.clone(), priors.collect());
            for version in &model.versions {
                let rollout = config
                    .rollout(&model.name)
                    .filter(|rollout| rollout.to == version.name);
                let intent = match rollout {
                    None => Intent::None,
                    Some(rollout) if rollout.paused => Intent::Paused,
                    Some(rollout) => Intent::Rollout {
                        bad_answers: rollout.bad_answers,
                    },
                };
                self.version_mut(now, &model.name, &version.name)
                    .monitor
                    .set_intent(now, intent);
            }
        }
        let priors = &self.priors;
        self.versions.retain(|model, _| priors.contains_key(model));
    }

    pub(super) fn version_mut(&mut self, now: Instant, model: &str, version: &str) -> &mut Version {
        let settings = &self.settings.rollout;
        self.versions
            .entry(model.to_owned())
            .or_default()
            .entry(version.to_owned())
            .or_insert_with(|| Version::new(settings, now))
    }

    pub(super) fn version(&self, model: &str, version: &str) -> Option<&Version> {
        self.versions.get(model)?.get(version)
    }

    pub(super) fn task_mut(&mut self, now: Instant, subject: Subject) -> &mut Task {
        let settings = self.settings.rollout.clone();
        self.version_mut(now, subject.model, subject.version)
            .task_mut(&settings, now, subject.task)
    }

    pub(super) fn profile(&self, query: &Query, offer: &Offer) -> Profile {
        let profile = self
            .version(offer.model, &offer.version.name)
            .and_then(|version| version.tasks.get(query.task))
            .and_then(|task| task.profile);
        profile.unwrap_or_else(|| Profile::new(prior_profile(query)))
    }

    pub(super) fn quality(&self, now: Instant, query: &Query, offer: &Offer) -> Estimate {
        let subject = subject(query, offer);
        self.table.estimate(now, subject, prior(offer.version))
    }

    /// Estimated quality on requests that another version has failed.
    pub(super) fn escalated_quality(&self, now: Instant, query: &Query, offer: &Offer) -> Estimate {
        let task = escalated_task(query.task);
        let subject = Subject {
            task: &task,
            ..subject(query, offer)
        };
        let overall = self.quality(now, query, offer).mean;
        self.table
            .estimate(now, subject, overall * self.settings.escalated_ratio)
    }

    /// Counts a rating of this node and passes it to the monitors.
    pub(super) fn record_rating(&mut self, now: Instant, rating: &Rating) -> Vec<Transition> {
        let task = escalated_task(rating.subject.task);
        let subject = match rating.escalated {
            true => Subject {
                task: &task,
                ..rating.subject
            },
            false => rating.subject,
        };
        let counts = Counts::from_rating(rating.good);
        let delta = Delta {
            counts,
            initial: false,
        };
        let transitions = self.update_monitors(now, subject, delta);
        self.table.observe(now, subject, rating.good);
        transitions
    }

    /// Passes ratings to the monitors, which compare them with the quality estimated without them.
    /// Older ratings that a peer sends first are ignored for versions in service.
    pub(super) fn update_monitors(
        &mut self,
        now: Instant,
        subject: Subject,
        delta: Delta,
    ) -> Vec<Transition> {
        let own_quality = self.overall_quality(now, subject);
        let alternative_quality = self
            .alternative_quality(now, subject)
            .unwrap_or(own_quality);
        let version = self.version_mut(now, subject.model, subject.version);
        let expected_quality = |serving: bool| {
            if serving {
                own_quality
            } else {
                alternative_quality
            }
        };
        let mut events = Vec::new();
        let serving = version.monitor.is_serving();
        if !(serving && delta.initial) {
            let expected = expected_quality(serving);
            let event = version.monitor.observe(now, delta.counts, expected);
            events.push((None, event));
        }
        let task = self.task_mut(now, subject);
        let serving = task.monitor.is_serving();
        if !(serving && delta.initial) {
            let expected = expected_quality(serving);
            let event = task.monitor.observe(now, delta.counts, expected);
            events.push((Some(subject.task), event));
        }
        events
            .into_iter()
            .filter_map(|(task, event)| Some(transition(subject, task, event?)))
            .collect()
    }

    /// Starts the retrials that are due.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for (model, versions) in &mut self.versions {
            for (version, version_state) in versions {
                let subject = Subject {
                    model,
                    version,
                    task: "",
                    customer: "",
                };
                let event = version_state.monitor.tick(now);
                transitions.extend(event.map(|event| transition(subject, None, event)));
                for (task, task_state) in &mut version_state.tasks {
                    let event = task_state.monitor.tick(now);
                    transitions.extend(event.map(|event| transition(subject, Some(task), event)));
                }
            }
        }
        transitions
    }

    fn prior(&self, subject: Subject) -> f64 {
        self.priors
            .get(subject.model)
            .and_then(|versions| versions.get(subject.version))
            .copied()
            .unwrap_or(DEFAULT_PRIOR)
    }

    /// Estimated quality of a version for a task, over all customers.
    fn overall_quality(&self, now: Instant, subject: Subject) -> f64 {
        let prior = self.prior(subject);
        let all_customers = Subject {
            customer: "",
            ..subject
        };
        self.table.estimate(now, all_customers, prior).mean
    }

    /// Quality of the best other version of the model that is in service.
    fn alternative_quality(&self, now: Instant, subject: Subject) -> Option<f64> {
        self.versions
            .get(subject.model)?
            .iter()
            .filter(|(version, version_state)| {
                *version != subject.version && version_state.monitor.is_serving()
            })
            .map(|(version, _)| self.overall_quality(now, Subject { version, ..subject }))
            .max_by(f64::total_cmp)
    }
}

fn prior(version: &contract::Version) -> f64 {
    version.quality.unwrap_or(DEFAULT_PRIOR).clamp(0.0, 1.0)
}

fn subject<'a>(query: &Query<'a>, offer: &Offer<'a>) -> Subject<'a> {
    Subject {
        model: offer.model,
        version: &offer.version.name,
        task: query.task,
        customer: query.customer,
    }
}

fn prior_profile(query: &Query) -> Prior {
    Prior {
        tokens: f64::from(query.max_tokens) * PRIOR_LENGTH_SHARE,
        latency: query.deadline.mul_f64(PRIOR_LATENCY_SHARE),
    }
}

fn escalated_task(task: &str) -> String {
    format!("{task}{ESCALATED_SUFFIX}")
}

fn transition(subject: Subject, task: Option<&str>, event: Event) -> Transition {
    Transition {
        model: subject.model.to_owned(),
        version: subject.version.to_owned(),
        task: task.map(str::to_owned),
        event,
    }
}
