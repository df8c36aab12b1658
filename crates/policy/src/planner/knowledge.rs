//! What is known of all versions.

use crate::answer::{Prior, Profile};
use crate::planner::learned::{Learned, Task};
use crate::planner::{Offer, Query, Rating, Settings, Transition};
use crate::quality::{Counts, Delta, Estimate, Subject, Table};
use crate::rollout::{Event, Intent};
use contract::{Config, Map, ModelId, VersionId};
use std::time::Instant;

/// Suffix of the task under which answers are counted that follow a failed one.
const ESCALATED: &str = "/escalated";

/// Share of the longest answer that is expected before any was seen.
const EXPECTED_LENGTH: f64 = 0.5;

/// Part of the deadline that an answer is expected to take before any was seen.
const EXPECTED_TIME: f64 = 0.25;

/// Quality, profiles and watches of all versions.
#[derive(Debug)]
pub(super) struct Knowledge {
    pub(super) settings: Settings,
    pub(super) table: Table,
    pub(super) versions: Map<ModelId, Map<VersionId, Learned>>,
    /// Priors of the configuration.
    priors: Map<ModelId, Map<VersionId, f64>>,
}

impl Knowledge {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            table: Table::new(settings.quality.clone()),
            settings,
            versions: Map::default(),
            priors: Map::default(),
        }
    }

    /// Takes over models and roll-outs of a configuration.
    pub(super) fn configure(&mut self, now: Instant, config: &Config) {
        self.priors.clear();
        for model in config.models() {
            let priors = model.versions.iter();
            let priors = priors.map(|one| (one.name.clone(), prior(one)));
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
                self.learned(now, &model.name, &version.name)
                    .watch
                    .set_intent(now, intent);
            }
        }
        let priors = &self.priors;
        self.versions.retain(|model, _| priors.contains_key(model));
    }

    pub(super) fn learned(&mut self, now: Instant, model: &str, version: &str) -> &mut Learned {
        let settings = &self.settings.rollout;
        self.versions
            .entry(model.to_owned())
            .or_default()
            .entry(version.to_owned())
            .or_insert_with(|| Learned::new(settings, now))
    }

    pub(super) fn find(&self, model: &str, version: &str) -> Option<&Learned> {
        self.versions.get(model)?.get(version)
    }

    pub(super) fn task(&mut self, now: Instant, subject: Subject) -> &mut Task {
        let settings = self.settings.rollout.clone();
        self.learned(now, subject.model, subject.version)
            .task(&settings, now, subject.task)
    }

    pub(super) fn profile(&self, query: &Query, offer: &Offer) -> Profile {
        let learned = self
            .find(offer.model, &offer.version.name)
            .and_then(|learned| learned.tasks.get(query.task))
            .and_then(|task| task.profile);
        learned.unwrap_or_else(|| Profile::new(expected(query)))
    }

    pub(super) fn quality(&self, now: Instant, query: &Query, offer: &Offer) -> Estimate {
        let subject = subject(query, offer);
        self.table.estimate(now, subject, prior(offer.version))
    }

    pub(super) fn escalated(&self, now: Instant, query: &Query, offer: &Offer) -> Estimate {
        let task = escalated(query.task);
        let subject = Subject {
            task: &task,
            ..subject(query, offer)
        };
        let general = self.quality(now, query, offer).mean;
        self.table
            .estimate(now, subject, general * self.settings.escalated_ratio)
    }

    /// Counts a rating of this node and shows it to the watches.
    pub(super) fn rate(&mut self, now: Instant, rating: &Rating) -> Vec<Transition> {
        let task = escalated(rating.subject.task);
        let subject = match rating.escalated {
            true => Subject {
                task: &task,
                ..rating.subject
            },
            false => rating.subject,
        };
        let counts = Counts::from_rating(rating.good);
        let growth = Delta {
            counts,
            initial: false,
        };
        let changes = self.watch(now, subject, growth);
        self.table.observe(now, subject, rating.good);
        changes
    }

    /// Shows ratings to the watches, against the quality that is known without them.
    pub(super) fn watch(
        &mut self,
        now: Instant,
        subject: Subject,
        growth: Delta,
    ) -> Vec<Transition> {
        let own = self.reference(now, subject);
        let rival = self.rival(now, subject).unwrap_or(own);
        let learned = self.learned(now, subject.model, subject.version);
        let on_trial = |serving: bool| if serving { own } else { rival };
        let mut events = Vec::new();
        let serving = learned.watch.is_serving();
        if !(serving && growth.initial) {
            let reference = on_trial(serving);
            let event = learned.watch.observe(now, growth.counts, reference);
            events.push((None, event));
        }
        let task = self.task(now, subject);
        let serving = task.watch.is_serving();
        if !(serving && growth.initial) {
            let reference = on_trial(serving);
            let event = task.watch.observe(now, growth.counts, reference);
            events.push((Some(subject.task), event));
        }
        let changes = events.into_iter();
        changes
            .filter_map(|(task, event)| Some(change(subject, task, event?)))
            .collect()
    }

    /// Starts new trials that are due.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Transition> {
        let mut changes = Vec::new();
        for (model, versions) in &mut self.versions {
            for (version, learned) in versions {
                let all = Subject {
                    model,
                    version,
                    task: "",
                    customer: "",
                };
                let event = learned.watch.tick(now);
                changes.extend(event.map(|event| change(all, None, event)));
                for (task, here) in &mut learned.tasks {
                    let event = here.watch.tick(now);
                    changes.extend(event.map(|event| change(all, Some(task), event)));
                }
            }
        }
        changes
    }

    fn prior(&self, subject: Subject) -> f64 {
        self.priors
            .get(subject.model)
            .and_then(|versions| versions.get(subject.version))
            .copied()
            .unwrap_or(DEFAULT_PRIOR)
    }

    fn reference(&self, now: Instant, subject: Subject) -> f64 {
        let prior = self.prior(subject);
        let everyone = Subject {
            customer: "",
            ..subject
        };
        self.table.estimate(now, everyone, prior).mean
    }

    /// Quality of the best other version of the model that is in service.
    fn rival(&self, now: Instant, subject: Subject) -> Option<f64> {
        self.versions
            .get(subject.model)?
            .iter()
            .filter(|(version, learned)| *version != subject.version && learned.watch.is_serving())
            .map(|(version, _)| self.reference(now, Subject { version, ..subject }))
            .max_by(f64::total_cmp)
    }
}

/// Prior of a version whose configuration names none, 0 to 1.
const DEFAULT_PRIOR: f64 = 0.5;

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

fn expected(query: &Query) -> Prior {
    Prior {
        tokens: f64::from(query.max_tokens) * EXPECTED_LENGTH,
        latency: query.deadline.mul_f64(EXPECTED_TIME),
    }
}

fn escalated(task: &str) -> String {
    format!("{task}{ESCALATED}")
}

fn change(subject: Subject, task: Option<&str>, event: Event) -> Transition {
    Transition {
        model: subject.model.to_owned(),
        version: subject.version.to_owned(),
        task: task.map(str::to_owned),
        event,
    }
}
