//! The planner of one node.

use crate::Refusal;
use crate::answer::{Prior, Profile};
use crate::plan::{Candidate, Mode, Request, Status, choose};
use crate::planner::state::State;
use crate::planner::{Decision, Offer, Query, Rating, Row, Settings, Transition};
use crate::quality::{Cell, Origin, Subject};
use contract::Config;
use rand::Rng;
use std::time::{Duration, Instant};

/// Plans requests with what this node and its peers have learned. Callers pass in the time and a
/// random number generator, and guard the planner by a lock.
#[derive(Debug)]
pub struct Planner {
    state: State,
}

impl Planner {
    /// Creates a planner that has learned nothing.
    ///
    /// ```
    /// use policy::planner::{Planner, Settings};
    /// let planner = Planner::new(Settings { sampled_ratings: 0.2, ..Default::default() });
    /// assert_eq!(planner.sequence(), 0);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            state: State::new(settings),
        }
    }

    /// Applies the models and roll-outs of a configuration.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let mut planner = Planner::new(Settings::default());
    /// planner.configure(std::time::Instant::now(), &contract::Config::default());
    /// ```
    pub fn configure(&mut self, now: Instant, config: &Config) {
        self.state.configure(now, config);
    }

    /// Plans a request over the versions that its contract allows.
    ///
    /// ```
    /// use policy::planner::{Offer, Planner, Query, Settings};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// let version: contract::Version = serde_json::from_str(
    ///     r#"{"name":"1","input_micros":100,"output_micros":400,"quality":0.97}"#)?;
    /// let mut planner = Planner::new(Settings::default());
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let offers = [Offer {
    ///     model: "small", version: &version, ready: true, wait: Default::default(),
    /// }];
    /// let decision = planner.plan(
    ///     std::time::Instant::now(), &Query::default(), &offers, &mut rng);
    /// assert_eq!(decision.map(|one| one.plan.shape.first()), Ok(0));
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn plan(
        &mut self,
        now: Instant,
        query: &Query,
        offers: &[Offer],
        rng: &mut impl Rng,
    ) -> Result<Decision, Refusal> {
        let candidates: Vec<_> = offers
            .iter()
            .map(|offer| self.candidate(now, query, offer))
            .collect();
        let request = Request {
            target: query.target,
            deadline: query.deadline,
            allow_cascade: query.allow_cascade,
            rating_latency: query.rating_latency,
            session: query.session,
            budget: query.budget,
            trial: self.select_trial(now, query, &candidates, rng),
            optimistic: rng.random_bool(self.state.settings.exploration),
            quality_slack: self.state.settings.quality_slack,
            random: rng.random(),
        };
        let plan = choose(&request, &candidates)?;
        let first = &candidates[plan.shape.first()];
        let trial = plan.mode == Mode::Trial;
        let needs_rating = trial || request.optimistic || self.should_rate(query, first, rng);
        if trial {
            let rating_deadline = now + query.deadline + self.state.settings.rating_timeout;
            let version = self.state.version_mut(now, first.model, first.version);
            version.outstanding.push(rating_deadline);
        }
        Ok(Decision {
            explanation: plan.explain(&candidates),
            plan,
            needs_rating,
        })
    }

    /// Records the length and latency of a complete answer.
    ///
    /// ```
    /// use policy::{planner::{Planner, Settings}, quality::Subject};
    /// use std::time::{Duration, Instant};
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// let mut planner = Planner::new(Settings::default());
    /// planner.record_answer(Instant::now(), subject, 20, Duration::from_millis(300));
    /// ```
    pub fn record_answer(
        &mut self,
        now: Instant,
        subject: Subject,
        tokens: u64,
        latency: Duration,
    ) {
        let task = self.state.task_mut(now, subject);
        let prior = Prior {
            tokens: tokens as f64,
            latency,
        };
        task.profile
            .get_or_insert_with(|| Profile::new(prior))
            .observe(tokens, latency);
    }

    /// Records a rating of one of this node's answers.
    ///
    /// ```
    /// use policy::{planner::{Planner, Rating, Settings}, quality::Subject};
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// let mut planner = Planner::new(Settings::default());
    /// let rating = Rating { subject, escalated: false, good: true };
    /// assert!(planner.record_rating(std::time::Instant::now(), &rating).is_empty());
    /// assert_eq!(planner.sequence(), 1);
    /// ```
    pub fn record_rating(&mut self, now: Instant, rating: &Rating) -> Vec<Transition> {
        let Subject { model, version, .. } = rating.subject;
        let version = self.state.version_mut(now, model, version);
        if !version.outstanding.is_empty() {
            version.outstanding.remove(0);
        }
        self.state.record_rating(now, rating)
    }

    /// Merges a peer's ratings.
    ///
    /// ```
    /// use policy::{planner::{Planner, Settings}, quality::{Cell, Origin}};
    /// let origin = Origin { node: "n2".into(), incarnation: 1 };
    /// let cell = Cell {
    ///     model: "small".into(), version: "1".into(), task: "tag".into(), customer: "c".into(),
    ///     sequence: 1, good: 3.0, bad: 1.0,
    /// };
    /// let mut planner = Planner::new(Settings::default());
    /// assert!(planner.merge(std::time::Instant::now(), &origin, &cell).is_empty());
    /// ```
    pub fn merge(&mut self, now: Instant, origin: &Origin, cell: &Cell) -> Vec<Transition> {
        match self.state.table.merge(now, origin, cell) {
            Some(delta) => self.state.update_monitors(now, cell.subject(), delta),
            None => Vec::new(),
        }
    }

    /// Returns the sequence number of the last change to this node's own counts.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// assert_eq!(Planner::new(Settings::default()).sequence(), 0);
    /// ```
    pub fn sequence(&self) -> u64 {
        self.state.table.sequence()
    }

    /// Returns this node's own counts that changed after a sequence number.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let planner = Planner::new(Settings::default());
    /// assert!(planner.cells(std::time::Instant::now(), 0).is_empty());
    /// ```
    pub fn cells(&self, now: Instant, after: u64) -> Vec<Cell> {
        self.state.table.cells(now, after)
    }

    /// Starts the retrials that are due and drops counts that have decayed.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let mut planner = Planner::new(Settings::default());
    /// assert!(planner.tick(std::time::Instant::now()).is_empty());
    /// ```
    pub fn tick(&mut self, now: Instant) -> Vec<Transition> {
        self.state.table.prune(now);
        self.state.tick(now)
    }

    /// Returns the expected latency of a complete answer of a version, and its 95th percentile.
    ///
    /// ```
    /// # use policy::{planner::{Planner, Settings}, quality::Subject};
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// assert!(Planner::new(Settings::default()).latencies(subject).is_none());
    /// ```
    pub fn latencies(&self, subject: Subject) -> Option<(Duration, Duration)> {
        let version = self.state.version(subject.model, subject.version)?;
        let profile = version.tasks.get(subject.task)?.profile?;
        Some((profile.latency(), profile.tail_latency()))
    }

    /// Returns the learned state of each version and task, for the state dump.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// assert!(Planner::new(Settings::default()).dump(std::time::Instant::now()).is_empty());
    /// ```
    pub fn dump(&self, now: Instant) -> Vec<Row> {
        self.state.rows(now)
    }

    fn candidate<'a>(&self, now: Instant, query: &Query<'a>, offer: &Offer<'a>) -> Candidate<'a> {
        let profile = self.state.profile(query, offer);
        let status = self
            .state
            .version(offer.model, &offer.version.name)
            .map_or(Status::Serving, |version| version.status(query.task));
        Candidate {
            model: offer.model,
            version: &offer.version.name,
            cost: profile.cost(offer.version, query.prompt_tokens),
            latency: offer.wait + profile.latency(),
            tail_latency: offer.wait + profile.tail_latency(),
            quality: self.state.quality(now, query, offer),
            escalated_quality: self.state.escalated_quality(now, query, offer),
            ready: offer.ready,
            status,
        }
    }

    /// Returns the first version on trial whose budget of bad answers allows another answer.
    fn select_trial(
        &mut self,
        now: Instant,
        query: &Query,
        candidates: &[Candidate],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        candidates.iter().position(|candidate| {
            if candidate.status != Status::Trial || !candidate.ready {
                return false;
            }
            let version = self
                .state
                .version_mut(now, candidate.model, candidate.version);
            version
                .outstanding
                .retain(|rating_deadline| *rating_deadline > now);
            let outstanding = version.outstanding.len() as u32;
            version
                .trial_monitor(query.task)
                .admits(outstanding, query.nodes, rng)
        })
    }

    /// Returns whether the first answer should be rated even without a cascade: the version is
    /// suspect or has few ratings, or the answer is sampled.
    fn should_rate(&self, query: &Query, first: &Candidate, rng: &mut impl Rng) -> bool {
        let settings = &self.state.settings;
        let version = self.state.version(first.model, first.version);
        let is_suspect = version.is_some_and(|version| version.is_suspect(query.task));
        is_suspect
            || first.quality.weight < settings.warmup_ratings
            || rng.random_bool(settings.sampled_ratings)
    }
}
