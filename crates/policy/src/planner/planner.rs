//! The planner of one node.

use crate::Refusal;
use crate::answer::{Prior, Profile};
use crate::plan::{Candidate, Mode, Request, Status, choose};
use crate::planner::knowledge::Knowledge;
use crate::planner::{Decision, Offer, Query, Rating, Row, Settings, Transition};
use crate::quality::{Cell, Origin, Subject};
use contract::Config;
use rand::Rng;
use std::time::{Duration, Instant};

/// Plans requests on what this node and its peers have learned. It takes the time and random numbers
/// from its caller, and is kept behind the caller's lock.
#[derive(Debug)]
pub struct Planner {
    knowledge: Knowledge,
}

impl Planner {
    /// A planner that has learned nothing.
    ///
    /// ```
    /// use policy::planner::{Planner, Settings};
    /// let planner = Planner::new(Settings { sampled_ratings: 0.2, ..Default::default() });
    /// assert_eq!(planner.sequence(), 0);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            knowledge: Knowledge::new(settings),
        }
    }

    /// Takes over the models and roll-outs of a configuration.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let mut planner = Planner::new(Settings::default());
    /// planner.configure(std::time::Instant::now(), &contract::Config::default());
    /// ```
    pub fn configure(&mut self, now: Instant, config: &Config) {
        self.knowledge.configure(now, config);
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
            trial: self.draw(now, query, &candidates, rng),
            optimistic: rng.random_bool(self.knowledge.settings.exploration),
            quality_slack: self.knowledge.settings.quality_slack,
            random: rng.random(),
        };
        let plan = choose(&request, &candidates)?;
        let first = &candidates[plan.shape.first()];
        let trial = plan.mode == Mode::Trial;
        let needs_rating = trial || request.optimistic || self.worth_rating(query, first, rng);
        if trial {
            let lost = now + query.deadline + self.knowledge.settings.rating_timeout;
            let learned = self.knowledge.learned(now, first.model, first.version);
            learned.outstanding.push(lost);
        }
        Ok(Decision {
            explanation: plan.explain(&candidates),
            plan,
            needs_rating,
        })
    }

    /// Learns what a whole answer took.
    ///
    /// ```
    /// use policy::{planner::{Planner, Settings}, quality::Subject};
    /// use std::time::{Duration, Instant};
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// let mut planner = Planner::new(Settings::default());
    /// planner.record_answer(Instant::now(), subject, 20, Duration::from_millis(300));
    /// ```
    pub fn record_answer(&mut self, now: Instant, subject: Subject, tokens: u64, took: Duration) {
        let task = self.knowledge.task(now, subject);
        let prior = Prior {
            tokens: tokens as f64,
            latency: took,
        };
        task.profile
            .get_or_insert_with(|| Profile::new(prior))
            .observe(tokens, took);
    }

    /// Learns a rating of this node's own answer.
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
        let learned = self.knowledge.learned(now, model, version);
        if !learned.outstanding.is_empty() {
            learned.outstanding.remove(0);
        }
        self.knowledge.rate(now, rating)
    }

    /// Learns a peer's ratings.
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
        match self.knowledge.table.merge(now, origin, cell) {
            Some(growth) => self.knowledge.watch(now, cell.subject(), growth),
            None => Vec::new(),
        }
    }

    /// Number of the last change to this node's own counts.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// assert_eq!(Planner::new(Settings::default()).sequence(), 0);
    /// ```
    pub fn sequence(&self) -> u64 {
        self.knowledge.table.sequence()
    }

    /// This node's own counts that changed after a sequence.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let planner = Planner::new(Settings::default());
    /// assert!(planner.cells(std::time::Instant::now(), 0).is_empty());
    /// ```
    pub fn cells(&self, now: Instant, after: u64) -> Vec<Cell> {
        self.knowledge.table.cells(now, after)
    }

    /// Starts new trials that are due and drops what has decayed.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// let mut planner = Planner::new(Settings::default());
    /// assert!(planner.tick(std::time::Instant::now()).is_empty());
    /// ```
    pub fn tick(&mut self, now: Instant) -> Vec<Transition> {
        self.knowledge.table.prune(now);
        self.knowledge.tick(now)
    }

    /// Expected time to a whole answer of a version, and the time that 95 in 100 keep.
    ///
    /// ```
    /// # use policy::{planner::{Planner, Settings}, quality::Subject};
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// assert!(Planner::new(Settings::default()).latencies(subject).is_none());
    /// ```
    pub fn latencies(&self, subject: Subject) -> Option<(Duration, Duration)> {
        let learned = self.knowledge.find(subject.model, subject.version)?;
        let profile = learned.tasks.get(subject.task)?.profile?;
        Some((profile.latency(), profile.tail_latency()))
    }

    /// What is known of each version at each task, for the state dump.
    ///
    /// ```
    /// # use policy::planner::{Planner, Settings};
    /// assert!(Planner::new(Settings::default()).dump(std::time::Instant::now()).is_empty());
    /// ```
    pub fn dump(&self, now: Instant) -> Vec<Row> {
        self.knowledge.rows(now)
    }

    fn candidate<'a>(&self, now: Instant, query: &Query<'a>, offer: &Offer<'a>) -> Candidate<'a> {
        let profile = self.knowledge.profile(query, offer);
        let status = self
            .knowledge
            .find(offer.model, &offer.version.name)
            .map_or(Status::Serving, |learned| learned.status(query.task));
        Candidate {
            model: offer.model,
            version: &offer.version.name,
            cost: profile.cost(offer.version, query.prompt_tokens),
            latency: offer.wait + profile.latency(),
            tail_latency: offer.wait + profile.tail_latency(),
            quality: self.knowledge.quality(now, query, offer),
            escalated_quality: self.knowledge.escalated(now, query, offer),
            ready: offer.ready,
            status,
        }
    }

    /// The first version on trial whose budget of bad answers has room.
    fn draw(
        &mut self,
        now: Instant,
        query: &Query,
        candidates: &[Candidate],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        candidates.iter().position(|one| {
            if one.status != Status::Trial || !one.ready {
                return false;
            }
            let learned = self.knowledge.learned(now, one.model, one.version);
            learned.outstanding.retain(|lost| *lost > now);
            let outstanding = learned.outstanding.len() as u32;
            learned
                .trial(query.task)
                .admits(outstanding, query.nodes, rng)
        })
    }

    fn worth_rating(&self, query: &Query, first: &Candidate, rng: &mut impl Rng) -> bool {
        let settings = &self.knowledge.settings;
        let learned = self.knowledge.find(first.model, first.version);
        let is_suspect = learned.is_some_and(|learned| learned.is_suspect(query.task));
        is_suspect
            || first.quality.weight < settings.warmup_ratings
            || rng.random_bool(settings.sampled_ratings)
    }
}
