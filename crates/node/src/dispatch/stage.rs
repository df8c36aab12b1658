//! Execution of a request on one model version, with retries on other backend servers.

use crate::Error;
use crate::dispatch::assignment::Assignment;
use crate::dispatch::job::Job;
use crate::dispatch::search::Search;
use crate::dispatch::{Accumulator, Candidate};
use crate::schedule::Arrival;
use backend::{Chat, Chunk, Engine, Ran};
use contract::{BackendId, Revision};
use futures::StreamExt;
use futures::stream::BoxStream;
use ledger::bill;
use limits::suspect::Verdict;
use policy::placement;
use policy::quality::Subject;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// Maximum number of backend servers that a request is sent to per version.
const MAX_ATTEMPTS: usize = 3;

/// Interval at which the capacity of the queue is updated while a request waits.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(20);

/// Slots that a node may request of each backend server beyond those it was granted.
const REQUESTABLE_SLOTS: u32 = 1;

/// Expected duration of an answer before the first one has been observed.
const INITIAL_DURATION: Duration = Duration::from_millis(500);

/// One stage of a cascade: a request on one model version.
#[derive(Clone, Copy)]
pub(super) struct Stage<'a> {
    pub(super) job: &'a Job,
    pub(super) candidate: &'a Candidate,
}

/// A stream whose first chunk has arrived.
pub(super) struct Open {
    pub(super) assignment: Assignment,
    pub(super) first: Chunk,
    pub(super) rest: BoxStream<'static, Result<Chunk, backend::Error>>,
}

/// A complete answer. `chunks` is only filled for streaming callers.
#[derive(Default)]
pub(super) struct Collected {
    pub(super) accumulator: Accumulator,
    pub(super) chunks: Vec<Chunk>,
}

impl Stage<'_> {
    /// Opens a stream. Until its first chunk arrives, failures are retried on other backend servers.
    pub(super) async fn open(&self) -> Result<Open, Error> {
        let mut tried = Vec::new();
        self.open_untried(&mut tried).await
    }

    /// Opens a stream and reads it to its end. If it breaks, the request is retried on another backend
    /// server.
    pub(super) async fn collect(&self) -> Result<Collected, Error> {
        let mut tried = Vec::new();
        loop {
            let open = self.open_untried(&mut tried).await?;
            match self.read(open).await {
                Ok(collected) => return Ok(collected),
                Err(error @ Error::Backend { .. }) => {
                    if !self.may_retry(&tried) {
                        return Err(error);
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Bill entry for a run of this version.
    pub(super) fn charge(&self, input_tokens: u64, output_tokens: u64) -> bill::Charge {
        let Candidate {
            model,
            version,
            spec,
        } = self.candidate;
        bill::Charge {
            model: model.clone(),
            version: version.clone(),
            input_tokens,
            output_tokens,
            input_micros: spec.input_micros,
            output_micros: spec.output_micros,
        }
    }

    /// Key of the statistics of this version for the request's task and customer.
    pub(super) fn subject(&self) -> Subject<'_> {
        Subject {
            model: &self.candidate.model,
            version: &self.candidate.version,
            task: &self.job.target.task,
            customer: self.job.customer(),
        }
    }

    /// Opens a stream on a backend server that is not in `tried`, and adds those that it tries.
    async fn open_untried(&self, tried: &mut Vec<BackendId>) -> Result<Open, Error> {
        self.check_verdict()?;
        let mut last_error = None;
        loop {
            let assignment = match self.assign(tried).await {
                Ok(assignment) => assignment,
                Err(error) => return Err(last_error.unwrap_or(error)),
            };
            tried.push(assignment.backend.clone());
            match self.attempt(assignment).await {
                Ok(open) => return Ok(open),
                Err(
                    error @ Error::Backend {
                        source: backend::Error::Rejected { .. },
                    },
                ) => return Err(error),
                Err(error @ Error::Backend { .. }) => {
                    if !self.may_retry(tried) {
                        return Err(error);
                    }
                    last_error = Some(error);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Refuses a request that has crashed backend servers, including in an earlier stage.
    fn check_verdict(&self) -> Result<(), Error> {
        match self.job.app.verdict(&self.job.fingerprint) {
            Verdict::Refused(retry_after) => Err(Error::Crashing {
                retry_after,
                ran: Ran::No,
            }),
            _ => Ok(()),
        }
    }

    fn may_retry(&self, tried: &[BackendId]) -> bool {
        let app = &self.job.app;
        let is_refused = matches!(app.verdict(&self.job.fingerprint), Verdict::Refused(_));
        !is_refused && tried.len() < MAX_ATTEMPTS && app.scheduler.may_retry()
    }

    async fn read(&self, open: Open) -> Result<Collected, Error> {
        let Open {
            assignment,
            first,
            mut rest,
        } = open;
        let mut collected = Collected::default();
        self.append(&mut collected, first)?;
        while let Some(chunk) = self.with_deadline(rest.next()).await? {
            match chunk {
                Ok(chunk) => self.append(&mut collected, chunk)?,
                Err(source) => return Err(self.failed(assignment, source)),
            }
        }
        assignment.complete();
        Ok(collected)
    }

    fn append(&self, collected: &mut Collected, chunk: Chunk) -> Result<(), Error> {
        collected
            .accumulator
            .add(&chunk)
            .map_err(|source| Error::Backend { source })?;
        if self.job.request.stream {
            collected.chunks.push(chunk);
        }
        Ok(())
    }

    /// Waits for a permit of the pool's queue, then for a slot at one of its backend servers.
    async fn assign(&self, tried: &[BackendId]) -> Result<Assignment, Error> {
        let app = &self.job.app;
        let pool = self.candidate.served_name();
        let arrival = self.arrival(&pool, tried);
        if arrival.capacity == 0 {
            // No server can accept the request, so it would wait in the queue until its deadline.
            return Err(Error::Capacity(pool));
        }
        let acquired = app.scheduler.queues.acquire(arrival);
        tokio::pin!(acquired);
        let permit = loop {
            tokio::select! {
                permit = &mut acquired => break permit,
                // Slots may have been granted or revoked in the meantime.
                () = sleep(CAPACITY_INTERVAL) => {
                    let capacity = self.arrival(&pool, tried).capacity;
                    app.scheduler.queues.resize(&pool, capacity);
                }
            }
        };
        let permit = permit.map_err(|refusal| match refusal {
            limits::Refusal::Full { retry_after } | limits::Refusal::Late { retry_after, .. } => {
                Error::Overloaded { retry_after }
            }
            _ => Error::Capacity(pool.clone()),
        })?;
        let search = Search {
            app,
            pool: &pool,
            tried,
            capacity: self.candidate.spec.slots,
            deadline: self.job.deadline(),
            isolate: app.verdict(&self.job.fingerprint) == Verdict::Isolated,
        };
        let slot =
            search.acquire(|requestable, idle_only| self.choose(&search, requestable, idle_only));
        Ok(Assignment::new(app, slot.await?, Some(permit)))
    }

    fn arrival<'b>(&'b self, pool: &'b str, tried: &[BackendId]) -> Arrival<'b> {
        let app = &self.job.app;
        let config = app.config();
        let listing = app.fleet.listing();
        let capacity = listing
            .with_version(pool)
            .filter(|server| app.accepts_new_work(&config, server) && !tried.contains(&server.id))
            .map(|server| {
                app.slots.in_flight(&server.id)
                    + app.slots.available(&server.id)
                    + REQUESTABLE_SLOTS
            })
            .sum();
        let expected = app.scheduler.durations(self.subject());
        Arrival {
            pool,
            capacity,
            customer: self.job.customer(),
            priority: self.job.contract.priority,
            weight: self.job.contract.weight,
            deadline: self.job.deadline(),
            expected: expected.map_or(INITIAL_DURATION, |(mean, _)| mean),
        }
    }

    /// Chooses a backend server. A request suspected of crashes never gets the only remaining server.
    fn choose(&self, search: &Search<'_>, requestable: u32, idle_only: bool) -> Option<BackendId> {
        let app = &self.job.app;
        let Candidate { model, version, .. } = self.candidate;
        let listing = app.fleet.listing();
        if search.isolate && listing.with_version(search.pool).count() < 2 {
            return None;
        }
        let query = placement::Query {
            prefix_hash: Some(placement::prefix_hash(
                self.job.customer(),
                &self.job.request.prompt,
            )),
            zone: &app.settings.zone,
            preferred: None,
            avoid: search.tried.last().map(String::as_str),
        };
        app.scheduler
            .place(&listing.servers, (model, version), &query, |id| {
                let server = listing.get(id)?;
                let load = search.load(server, requestable)?;
                (!idle_only || app.slots.in_flight(id) == 0).then_some(load)
            })
    }

    /// Sends the request and waits for the first chunk.
    async fn attempt(&self, mut assignment: Assignment) -> Result<Open, Error> {
        let fencing_token = self.check(&assignment)?;
        let job = self.job;
        let chat = Chat {
            body: job.request.engine_body(
                &self.candidate.served_name(),
                job.contract.priority,
                job.max_tokens(),
            ),
            request_id: job.request_id.clone(),
            customer: job.customer().clone(),
            fencing_token,
        };
        let engine = Engine::new(&job.app.pool);
        let call = engine.chat(&assignment.backend, chat);
        let opened = match self.with_deadline(call).await? {
            Ok(opened) => opened,
            Err(source) => return Err(self.failed(assignment, source)),
        };
        let mut rest = opened.boxed();
        let first = self.with_deadline(rest.next()).await?;
        match first.unwrap_or(Err(backend::Error::Truncated)) {
            Ok(first) => {
                assignment.record_first_byte();
                Ok(Open {
                    assignment,
                    first,
                    rest,
                })
            }
            Err(source) => Err(self.failed(assignment, source)),
        }
    }

    /// Releases an assignment after a failure, and records whether the request may have crashed the
    /// backend server.
    pub(super) fn failed(&self, assignment: Assignment, source: backend::Error) -> Error {
        if source.suggests_crash() {
            self.job
                .app
                .report_crash(&self.job.fingerprint, &assignment.backend);
        }
        assignment.fail(&source);
        self.job.attempts.record(source.ran());
        Error::Backend { source }
    }

    /// Final checks before the request is sent. Returns the fencing token.
    fn check(&self, assignment: &Assignment) -> Result<Revision, Error> {
        let app = &self.job.app;
        let now = Instant::now();
        app.replica.may_start(now).map_err(|_| Error::Stale)?;
        let Candidate { model, version, .. } = self.candidate;
        if app.config().is_withdrawn(model, version) {
            return Err(Error::Withdrawn(self.candidate.served_name()));
        }
        if now >= self.job.deadline() {
            return Err(self.deadline_passed(Ran::No));
        }
        assignment.check(now)
    }

    /// Limits an operation to the deadline of the request.
    async fn with_deadline<T>(&self, work: impl Future<Output = T>) -> Result<T, Error> {
        timeout_at(self.job.deadline().into(), work)
            .await
            .map_err(|_| {
                self.job.attempts.record(Ran::Unknown);
                self.deadline_passed(Ran::Unknown)
            })
    }

    fn deadline_passed(&self, ran: Ran) -> Error {
        Error::Deadline {
            limit: self.job.limit,
            ran,
        }
    }
}
