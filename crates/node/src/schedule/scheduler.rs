//! The decisions of one node.

use crate::fleet::Server;
use crate::schedule::exchange;
use crate::schedule::requirements::Offered;
use crate::schedule::{Policy, Pools, Queues, Rater, Requirements, Sample, Selection, Settings};
use contract::{Config, Incarnation, Micros, NodeId, Revision};
use limits::retry::Budget;
use policy::Refusal;
use policy::placement::{Load, Query as Placement};
use policy::plan::Shape;
use policy::planner::{Decision, Offer, Planner, Query, Rating, Row, Transition};
use policy::quality::Subject;
use rand::Rng;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// What decisions stand on, for the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// What is known of each version at each task.
    pub versions: Vec<Row>,
    /// Requests that run and wait at each pool.
    pub queues: Vec<(String, u32, usize)>,
    /// Expected milliseconds of a rating; none while the service fails.
    pub rating_ms: Option<u64>,
    /// Samples that wait for a rating.
    pub samples: usize,
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Scheduler {
    /// Queues before pools.
    pub queues: Queues,
    settings: Settings,
    node: NodeId,
    incarnation: Incarnation,
    planner: Mutex<Planner>,
    pools: RwLock<Arc<Pools>>,
    rater: Rater,
    retries: Mutex<Budget>,
    hedges: Mutex<Budget>,
    configured: AtomicU64,
    samples: AtomicUsize,
    turns: AtomicUsize,
    sent: AtomicU64,
}

/// Tokens that a price is given for.
const PRICED_TOKENS: u64 = 1_000;

/// Before the first configuration.
const UNCONFIGURED: Revision = u64::MAX;

impl Scheduler {
    /// Decisions that have learned nothing.
    ///
    /// ```
    /// use node::schedule::{Scheduler, Settings};
    /// let ratings = clients::ratings::Client::new(Default::default())?;
    /// let scheduler = Scheduler::new(Settings::default(), "n1".into(), 1, ratings);
    /// assert!(scheduler.dump().versions.is_empty());
    /// # Ok::<(), clients::Error>(())
    /// ```
    pub fn new(
        settings: Settings,
        node: NodeId,
        incarnation: Incarnation,
        ratings: clients::ratings::Client,
    ) -> Self {
        let now = Instant::now();
        Self {
            queues: Queues::new(settings.admission.clone()),
            node,
            incarnation,
            planner: Mutex::new(Planner::new(settings.planner.clone())),
            pools: RwLock::default(),
            rater: Rater::new(ratings, settings.max_ratings),
            retries: Mutex::new(Budget::new(settings.retry.clone(), now)),
            hedges: Mutex::new(Budget::new(settings.hedge.clone(), now)),
            configured: AtomicU64::new(UNCONFIGURED),
            samples: AtomicUsize::new(0),
            turns: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            settings,
        }
    }

    /// Plans a request over the versions that its contract allows, given with whether a backend
    /// server of each takes requests.
    pub fn plan(
        &self,
        config: &Config,
        requirements: &Requirements,
        offered: &[(Offered, bool)],
    ) -> Result<Selection, Refusal> {
        let now = Instant::now();
        let kept = self.settings.policy.narrow(offered);
        let offers: Vec<_> = kept
            .iter()
            .map(|((model, version), ready)| Offer {
                model,
                version,
                ready: *ready,
                wait: self.wait(now, requirements, model, &version.name),
            })
            .collect();
        let query = Query {
            customer: requirements.customer,
            task: requirements.task,
            target: requirements.target(),
            deadline: requirements.deadline(),
            allow_cascade: requirements.cascade(),
            rating_latency: self.rater.expected(now),
            session: requirements.session,
            budget: requirements.budget,
            prompt_tokens: requirements.prompt_tokens,
            max_tokens: requirements.max_tokens(),
            nodes: requirements.nodes,
        };
        let mut planner = self.planner();
        self.configure(now, &mut planner, config);
        let decision = planner.plan(now, &query, &offers, &mut rand::rng())?;
        drop(planner);
        self.lock(&self.retries).deposit();
        self.lock(&self.hedges).deposit();
        Ok(selection(decision, &query, &offers))
    }

    /// Chooses a backend server of a version. `load` gives a server's load, or none when it may take
    /// no request.
    pub fn place(
        &self,
        servers: &Arc<Vec<Server>>,
        (model, version): (&str, &str),
        query: &Placement,
        load: impl Fn(&str) -> Option<Load>,
    ) -> Option<String> {
        let pools = self.pools(servers);
        self.choose(pools.version(model, version)?, query, load)
    }

    /// Chooses a backend server of a plain service.
    pub fn place_service(
        &self,
        servers: &Arc<Vec<Server>>,
        service: &str,
        query: &Placement,
        load: impl Fn(&str) -> Option<Load>,
    ) -> Option<String> {
        let pools = self.pools(servers);
        self.choose(pools.service(service)?, query, load)
    }

    /// Learns what a whole answer took.
    pub fn record_answer(&self, subject: Subject, tokens: u64, took: Duration) {
        self.planner()
            .record_answer(Instant::now(), subject, tokens, took);
    }

    /// Expected time to a whole answer of a version, and the time that 95 in 100 keep.
    pub fn durations(&self, subject: Subject) -> Option<(Duration, Duration)> {
        self.planner().latencies(subject)
    }

    /// Rates an answer that the caller waits for. None when the service fails: the answer then goes
    /// out unrated.
    pub async fn rate(&self, sample: &Sample) -> Option<bool> {
        let good = self.rater.rate(sample).await?;
        self.learn(sample, good);
        Some(good)
    }

    /// Rates an answer after it has gone out. Samples beyond the limit are dropped.
    pub fn rate_later(self: &Arc<Self>, sample: Sample) {
        if self.samples.fetch_add(1, Ordering::Relaxed) >= self.settings.max_samples {
            self.samples.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let scheduler = Arc::clone(self);
        tokio::spawn(async move {
            if let Some(good) = scheduler.rater.rate_sample(&sample).await {
                scheduler.learn(&sample, good);
            }
            scheduler.samples.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Whether one more attempt at a request fits the budget of retries.
    pub fn may_retry(&self) -> bool {
        self.lock(&self.retries).withdraw(Instant::now())
    }

    /// Whether a second copy of a repeatable request fits the budget.
    pub fn may_hedge(&self) -> bool {
        self.lock(&self.hedges).withdraw(Instant::now())
    }

    /// This node's counts that peers haven't been sent; all of them for a refresh.
    pub fn rating_frames(&self, refresh: bool) -> Vec<wire::Ratings> {
        let planner = self.planner();
        let sequence = planner.sequence();
        let sent = self.sent.swap(sequence, Ordering::Relaxed);
        let after = if refresh { 0 } else { sent };
        let cells = planner.cells(Instant::now(), after);
        drop(planner);
        exchange::frames(&self.node, self.incarnation, cells)
    }

    /// Takes in a peer's counts.
    pub fn merge_ratings(&self, ratings: wire::Ratings) {
        if ratings.node == self.node && ratings.incarnation == self.incarnation {
            return;
        }
        let (origin, cells) = exchange::cells(ratings);
        let now = Instant::now();
        let mut planner = self.planner();
        let changes: Vec<_> = cells
            .iter()
            .flat_map(|cell| planner.merge(now, &origin, cell))
            .collect();
        drop(planner);
        report(&changes);
    }

    /// Runs what is due from time to time, and hands counts for peers to `send`.
    pub async fn run(&self, send: impl Fn(wire::Frame)) {
        let mut ticks = tokio::time::interval(self.settings.exchange_interval);
        let mut refreshed = Instant::now();
        loop {
            ticks.tick().await;
            let changes = self.planner().tick(Instant::now());
            report(&changes);
            let refresh = refreshed.elapsed() >= self.settings.refresh_interval;
            if refresh {
                refreshed = Instant::now();
            }
            for ratings in self.rating_frames(refresh) {
                send(wire::Frame::Ratings(ratings));
            }
        }
    }

    /// What decisions stand on.
    pub fn dump(&self) -> Dump {
        let now = Instant::now();
        let rating = self.rater.expected(now);
        let versions = self.planner().dump(now);
        Dump {
            versions,
            queues: self.queues.counts_by_pool(),
            rating_ms: rating.map(|time| time.as_millis() as u64),
            samples: self.samples.load(Ordering::Relaxed),
        }
    }

    fn wait(
        &self,
        now: Instant,
        requirements: &Requirements,
        model: &str,
        version: &str,
    ) -> Duration {
        let subject = Subject {
            model,
            version,
            task: requirements.task,
            customer: requirements.customer,
        };
        let expected = self.durations(subject).map(|(usual, _)| usual);
        let request = limits::admission::Request {
            ticket: 0,
            customer: requirements.customer,
            priority: requirements.priority,
            weight: requirements.weight,
            deadline: now + requirements.deadline(),
            expected: expected.unwrap_or_default(),
        };
        let pool = format!("{model}@{version}");
        self.queues.expected_wait(&pool, &request)
    }

    fn configure(&self, now: Instant, planner: &mut Planner, config: &Config) {
        let revision = config.revision();
        if self.configured.swap(revision, Ordering::Relaxed) != revision {
            planner.configure(now, config);
        }
    }

    fn learn(&self, sample: &Sample, good: bool) {
        let rating = Rating {
            subject: sample.subject(),
            escalated: sample.escalated,
            good,
        };
        let changes = self.planner().record_rating(Instant::now(), &rating);
        report(&changes);
    }

    fn pools(&self, servers: &Arc<Vec<Server>>) -> Arc<Pools> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        if pools.is_built_from(servers) {
            return Arc::clone(&pools);
        }
        drop(pools);
        let fresh = Arc::new(Pools::new(&self.settings.place, Arc::clone(servers)));
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        *pools = Arc::clone(&fresh);
        fresh
    }

    fn choose(
        &self,
        pool: &policy::placement::Pool,
        query: &Placement,
        load: impl Fn(&str) -> Option<Load>,
    ) -> Option<String> {
        let load = |index: usize| load(pool.name(index));
        let count = pool.len();
        let index = match self.settings.policy {
            Policy::RoundRobin => {
                let turn = self.turns.fetch_add(1, Ordering::Relaxed);
                let order = (0..count).map(|step| (turn + step) % count);
                order.into_iter().find(|index| load(*index).is_some())
            }
            Policy::LeastOutstanding => {
                let start = rand::rng().random_range(0..count.max(1));
                let order = (0..count).map(|step| (start + step) % count);
                let loads = order.filter_map(|index| Some((load(index)?.unreported, index)));
                loads.min_by_key(|(own, _)| *own).map(|(_, index)| index)
            }
            _ => pool.choose(query, load, &mut rand::rng()),
        };
        index.map(|index| pool.name(index).to_owned())
    }

    fn planner(&self) -> MutexGuard<'_, Planner> {
        self.lock(&self.planner)
    }

    fn lock<'a, T>(&self, mutex: &'a Mutex<T>) -> MutexGuard<'a, T> {
        mutex.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn selection(decision: Decision, query: &Query, offers: &[Offer]) -> Selection {
    let name = |index: usize| {
        let offer = &offers[index];
        (offer.model.to_owned(), offer.version.name.clone())
    };
    let (first, fallback) = match decision.plan.shape {
        Shape::Single(one) => (one, None),
        Shape::Cascade { first, then } => (first, Some(then)),
    };
    let legs = std::iter::once(first).chain(fallback);
    let max_cost = legs
        .map(|index| max_cost(offers[index].version, query))
        .sum();
    Selection {
        max_cost,
        first: name(first),
        fallback: fallback.map(name),
        mode: decision.plan.mode,
        needs_rating: decision.needs_rating,
        cost: decision.plan.cost,
        latency: decision.plan.latency,
        explanation: decision.explanation,
    }
}

/// Cost of the longest answer.
fn max_cost(version: &contract::Version, query: &Query) -> Micros {
    let input = query.prompt_tokens.saturating_mul(version.input_micros);
    let output = u64::from(query.max_tokens).saturating_mul(version.output_micros);
    input.saturating_add(output).div_ceil(PRICED_TOKENS)
}

fn report(changes: &[Transition]) {
    for change in changes {
        let task = change.task.as_deref().unwrap_or("all");
        log::warn!(
            event = 1501,
            model = change.model.as_str(),
            version = change.version.as_str(),
            task;
            "version {:?}",
            change.event
        );
    }
}
