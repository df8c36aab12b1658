//! Scheduling of requests on one node.

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

/// State of the scheduler, for the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Statistics of each version for each task.
    pub versions: Vec<Row>,
    /// Numbers of running and waiting requests of each pool.
    pub queues: Vec<(String, u32, usize)>,
    /// Expected latency of a rating in milliseconds; `None` while the rating service fails.
    pub rating_ms: Option<u64>,
    /// Number of samples that wait for a rating.
    pub samples: usize,
}

/// Plans requests, places them on backend servers and learns from their answers.
#[derive(Debug)]
pub struct Scheduler {
    /// Admission queues of pools.
    pub queues: Queues,
    settings: Settings,
    node: NodeId,
    incarnation: Incarnation,
    planner: Mutex<Planner>,
    pools: RwLock<Arc<Pools>>,
    rater: Rater,
    retries: Mutex<Budget>,
    hedges: Mutex<Budget>,
    configured_revision: AtomicU64,
    pending_samples: AtomicUsize,
    round_robin: AtomicUsize,
    sent_sequence: AtomicU64,
}

/// Number of tokens that prices are quoted for.
const TOKENS_PER_PRICE: u64 = 1_000;

/// Revision stored before the first configuration.
const UNCONFIGURED: Revision = u64::MAX;

impl Scheduler {
    /// Creates a scheduler without any statistics.
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
            configured_revision: AtomicU64::new(UNCONFIGURED),
            pending_samples: AtomicUsize::new(0),
            round_robin: AtomicUsize::new(0),
            sent_sequence: AtomicU64::new(0),
            settings,
        }
    }

    /// Plans a request over the versions that its contract allows. Each version comes with whether any
    /// of its backend servers accepts requests.
    pub fn plan(
        &self,
        config: &Config,
        requirements: &Requirements,
        offered: &[(Offered, bool)],
    ) -> Result<Selection, Refusal> {
        let now = Instant::now();
        let versions = self.settings.policy.restrict(offered);
        let offers: Vec<_> = versions
            .iter()
            .map(|((model, version), ready)| Offer {
                model,
                version,
                ready: *ready,
                wait: self.expected_wait(now, requirements, model, &version.name),
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
        self.update_config(now, &mut planner, config);
        let decision = planner.plan(now, &query, &offers, &mut rand::rng())?;
        drop(planner);
        self.lock(&self.retries).deposit();
        self.lock(&self.hedges).deposit();
        Ok(selection(decision, &query, &offers))
    }

    /// Chooses a backend server of a version. `load` returns the load of a server, or `None` if it
    /// can't accept a request.
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

    /// Records the duration of a complete answer.
    pub fn record_answer(&self, subject: Subject, tokens: u64, took: Duration) {
        self.planner()
            .record_answer(Instant::now(), subject, tokens, took);
    }

    /// Expected duration of a complete answer of a version, and its 95th percentile.
    pub fn durations(&self, subject: Subject) -> Option<(Duration, Duration)> {
        self.planner().latencies(subject)
    }

    /// Rates an answer before it is delivered. `None` if the rating service fails: the answer is then
    /// delivered unrated.
    pub async fn rate(&self, sample: &Sample) -> Option<bool> {
        let good = self.rater.rate(sample).await?;
        self.record_rating(sample, good);
        Some(good)
    }

    /// Rates an answer in the background, after it was delivered. Samples beyond
    /// [`Settings::max_samples`] are dropped.
    pub fn rate_later(self: &Arc<Self>, sample: Sample) {
        if self.pending_samples.fetch_add(1, Ordering::Relaxed) >= self.settings.max_samples {
            self.pending_samples.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let scheduler = Arc::clone(self);
        tokio::spawn(async move {
            if let Some(good) = scheduler.rater.rate_sample(&sample).await {
                scheduler.record_rating(&sample, good);
            }
            scheduler.pending_samples.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Withdraws one attempt from the retry budget; false if it is exhausted.
    pub fn may_retry(&self) -> bool {
        self.lock(&self.retries).withdraw(Instant::now())
    }

    /// Withdraws one hedged request from the hedge budget; false if it is exhausted.
    pub fn may_hedge(&self) -> bool {
        self.lock(&self.hedges).withdraw(Instant::now())
    }

    /// This node's rating counters that were not sent to peers yet, or all of them for a refresh.
    pub fn rating_frames(&self, refresh: bool) -> Vec<wire::Ratings> {
        let planner = self.planner();
        let sequence = planner.sequence();
        let sent = self.sent_sequence.swap(sequence, Ordering::Relaxed);
        let after = if refresh { 0 } else { sent };
        let cells = planner.cells(Instant::now(), after);
        drop(planner);
        exchange::frames(&self.node, self.incarnation, cells)
    }

    /// Merges the rating counters of a peer. Counters of this node itself are ignored.
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
        log_changes(&changes);
    }

    /// Runs the periodic work: updates the planner and passes rating counters for peers to `send`.
    pub async fn run(&self, send: impl Fn(wire::Frame)) {
        let mut ticks = tokio::time::interval(self.settings.exchange_interval);
        let mut refreshed = Instant::now();
        loop {
            ticks.tick().await;
            let changes = self.planner().tick(Instant::now());
            log_changes(&changes);
            let refresh = refreshed.elapsed() >= self.settings.refresh_interval;
            if refresh {
                refreshed = Instant::now();
            }
            for ratings in self.rating_frames(refresh) {
                send(wire::Frame::Ratings(ratings));
            }
        }
    }

    /// Current state for the state dump.
    pub fn dump(&self) -> Dump {
        let now = Instant::now();
        let rating_latency = self.rater.expected(now);
        let versions = self.planner().dump(now);
        Dump {
            versions,
            queues: self.queues.counts_by_pool(),
            rating_ms: rating_latency.map(|latency| latency.as_millis() as u64),
            samples: self.pending_samples.load(Ordering::Relaxed),
        }
    }

    fn expected_wait(
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

    fn update_config(&self, now: Instant, planner: &mut Planner, config: &Config) {
        let revision = config.revision();
        if self.configured_revision.swap(revision, Ordering::Relaxed) != revision {
            planner.configure(now, config);
        }
    }

    fn record_rating(&self, sample: &Sample, good: bool) {
        let rating = Rating {
            subject: sample.subject(),
            escalated: sample.escalated,
            good,
        };
        let changes = self.planner().record_rating(Instant::now(), &rating);
        log_changes(&changes);
    }

    fn pools(&self, servers: &Arc<Vec<Server>>) -> Arc<Pools> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        if pools.is_built_from(servers) {
            return Arc::clone(&pools);
        }
        drop(pools);
        let rebuilt = Arc::new(Pools::new(&self.settings.placement, Arc::clone(servers)));
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        *pools = Arc::clone(&rebuilt);
        rebuilt
    }

    /// Chooses a backend server of a pool by the policy of the settings.
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
                let start = self.round_robin.fetch_add(1, Ordering::Relaxed);
                let order = (0..count).map(|step| (start + step) % count);
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
        Shape::Single(only) => (only, None),
        Shape::Cascade { first, then } => (first, Some(then)),
    };
    let stages = std::iter::once(first).chain(fallback);
    let max_cost = stages
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

/// Cost of the longest allowed answer.
fn max_cost(version: &contract::Version, query: &Query) -> Micros {
    let input = query.prompt_tokens.saturating_mul(version.input_micros);
    let output = u64::from(query.max_tokens).saturating_mul(version.output_micros);
    input.saturating_add(output).div_ceil(TOKENS_PER_PRICE)
}

fn log_changes(changes: &[Transition]) {
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
