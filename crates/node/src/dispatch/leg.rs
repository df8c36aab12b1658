//! One version's turn at a request: finds a backend server, sends, and retries before the first chunk.

use crate::Error;
use crate::dispatch::job::Job;
use crate::dispatch::place::{Need, Place};
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

/// Backend servers that one request may be sent to for one version.
const MAX_ATTEMPTS: usize = 3;

/// Time between looks at how many requests may leave the queue.
const QUEUE_STEP: Duration = Duration::from_millis(20);

/// Slots of a backend server that a node may ask for beyond those it has.
const SPARE_SLOTS: u32 = 1;

/// Expected time of an answer before any was seen.
const UNKNOWN_DURATION: Duration = Duration::from_millis(500);

/// A version's turn at a request.
#[derive(Clone, Copy)]
pub(super) struct Leg<'a> {
    pub(super) job: &'a Job,
    pub(super) candidate: &'a Candidate,
}

/// A stream that has given its first chunk.
pub(super) struct Open {
    pub(super) place: Place,
    pub(super) first: Chunk,
    pub(super) rest: BoxStream<'static, Result<Chunk, backend::Error>>,
}

/// An answer that was read to its end.
#[derive(Default)]
pub(super) struct Collected {
    pub(super) accumulator: Accumulator,
    pub(super) chunks: Vec<Chunk>,
}

impl Leg<'_> {
    /// Opens a stream, trying other backend servers while nothing has been delivered.
    pub(super) async fn open(&self) -> Result<Open, Error> {
        let mut tried = Vec::new();
        self.open_untried(&mut tried).await
    }

    /// Opens a stream and reads it to its end, starting again elsewhere when it breaks.
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

    /// What a run of this version costs.
    pub(super) fn priced(&self, input_tokens: u64, output_tokens: u64) -> bill::Leg {
        let Candidate {
            model,
            version,
            spec,
        } = self.candidate;
        bill::Leg {
            model: model.clone(),
            version: version.clone(),
            input_tokens,
            output_tokens,
            input_micros: spec.input_micros,
            output_micros: spec.output_micros,
        }
    }

    /// What answers of this version are counted under.
    pub(super) fn subject(&self) -> Subject<'_> {
        Subject {
            model: &self.candidate.model,
            version: &self.candidate.version,
            task: &self.job.target.task,
            customer: self.job.customer(),
        }
    }

    async fn open_untried(&self, tried: &mut Vec<BackendId>) -> Result<Open, Error> {
        self.check_verdict()?;
        let mut last = None;
        loop {
            let place = match self.place(tried).await {
                Ok(place) => place,
                Err(error) => return Err(last.unwrap_or(error)),
            };
            tried.push(place.backend.clone());
            match self.attempt(place).await {
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
                    last = Some(error);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Refuses a request that has crashed backend servers, also in an earlier leg.
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
            place,
            first,
            mut rest,
        } = open;
        let mut collected = Collected::default();
        self.take(&mut collected, first)?;
        while let Some(chunk) = self.in_time(rest.next()).await? {
            match chunk {
                Ok(chunk) => self.take(&mut collected, chunk)?,
                Err(source) => return Err(self.failed(place, source)),
            }
        }
        place.complete();
        Ok(collected)
    }

    fn take(&self, collected: &mut Collected, chunk: Chunk) -> Result<(), Error> {
        collected
            .accumulator
            .add(&chunk)
            .map_err(|source| Error::Backend { source })?;
        if self.job.request.stream {
            collected.chunks.push(chunk);
        }
        Ok(())
    }

    async fn place(&self, tried: &[BackendId]) -> Result<Place, Error> {
        let app = &self.job.app;
        let served = self.candidate.served();
        let arrival = self.arrival(&served, tried);
        if arrival.capacity == 0 {
            // Nobody would ever call the request up from the queue.
            return Err(Error::Capacity(served));
        }
        let permit = app.scheduler.queues.acquire(arrival);
        tokio::pin!(permit);
        let permit = loop {
            tokio::select! {
                permit = &mut permit => break permit,
                // Slots may have been granted since, or taken back.
                () = sleep(QUEUE_STEP) => {
                    let capacity = self.arrival(&served, tried).capacity;
                    app.scheduler.queues.resize(&served, capacity);
                }
            }
        };
        let permit = permit.map_err(|refusal| match refusal {
            limits::Refusal::Full { retry_after } | limits::Refusal::Late { retry_after, .. } => {
                Error::Overloaded { retry_after }
            }
            _ => Error::Capacity(served.clone()),
        })?;
        let need = Need {
            app,
            what: &served,
            tried,
            capacity: self.candidate.spec.slots,
            deadline: self.job.deadline(),
            suspect: app.verdict(&self.job.fingerprint) == Verdict::Isolated,
        };
        let hold = need.hold(|spare, alone| self.choose(&need, spare, alone));
        Ok(Place::new(app, hold.await?, Some(permit)))
    }

    fn arrival<'b>(&'b self, served: &'b str, tried: &[BackendId]) -> Arrival<'b> {
        let app = &self.job.app;
        let config = app.config();
        let listing = app.fleet.listing();
        let capacity = listing
            .with_version(served)
            .filter(|one| app.accepts_new_work(&config, one) && !tried.contains(&one.id))
            .map(|one| app.slots.in_flight(&one.id) + app.slots.available(&one.id) + SPARE_SLOTS)
            .sum();
        let expected = app.scheduler.durations(self.subject());
        Arrival {
            pool: served,
            capacity,
            customer: self.job.customer(),
            priority: self.job.contract.priority,
            weight: self.job.contract.weight,
            deadline: self.job.deadline(),
            expected: expected.map_or(UNKNOWN_DURATION, |(usual, _)| usual),
        }
    }

    /// Chooses a backend server; never the last one for a suspect of crashes.
    fn choose(&self, need: &Need<'_>, spare: u32, alone: bool) -> Option<BackendId> {
        let app = &self.job.app;
        let Candidate { model, version, .. } = self.candidate;
        let listing = app.fleet.listing();
        if need.suspect && listing.with_version(need.what).count() < 2 {
            return None;
        }
        let query = placement::Query {
            prefix_hash: Some(placement::prefix_hash(
                self.job.customer(),
                &self.job.request.prompt,
            )),
            zone: &app.settings.zone,
            preferred: None,
            avoid: need.tried.last().map(String::as_str),
        };
        app.scheduler
            .place(&listing.servers, (model, version), &query, |id| {
                let server = listing.get(id)?;
                let load = need.load(server, spare)?;
                (!alone || app.slots.in_flight(id) == 0).then_some(load)
            })
    }

    async fn attempt(&self, mut place: Place) -> Result<Open, Error> {
        let fence = self.check(&place)?;
        let job = self.job;
        let chat = Chat {
            body: job.request.engine_body(
                &self.candidate.served(),
                job.contract.priority,
                job.max_tokens(),
            ),
            request_id: job.request_id.clone(),
            customer: job.customer().clone(),
            fencing_token: fence,
        };
        let engine = Engine::new(&job.app.pool);
        let call = engine.chat(&place.backend, chat);
        let opened = match self.in_time(call).await? {
            Ok(opened) => opened,
            Err(source) => return Err(self.failed(place, source)),
        };
        let mut rest = opened.boxed();
        let first = self.in_time(rest.next()).await?;
        match first.unwrap_or(Err(backend::Error::Truncated)) {
            Ok(first) => {
                place.began();
                Ok(Open { place, first, rest })
            }
            Err(source) => Err(self.failed(place, source)),
        }
    }

    /// Gives a place back after a failure, and notes whether the request may have caused it.
    pub(super) fn failed(&self, place: Place, source: backend::Error) -> Error {
        if source.suggests_crash() {
            self.job
                .app
                .report_crash(&self.job.fingerprint, &place.backend);
        }
        place.fail(&source);
        self.job.attempts.note(source.ran());
        Error::Backend { source }
    }

    /// The last look before bytes leave.
    fn check(&self, place: &Place) -> Result<Revision, Error> {
        let app = &self.job.app;
        let now = Instant::now();
        app.replica.may_start(now).map_err(|_| Error::Stale)?;
        let Candidate { model, version, .. } = self.candidate;
        if app.config().withdrawn(model, version) {
            return Err(Error::Withdrawn(self.candidate.served()));
        }
        if now >= self.job.deadline() {
            return Err(self.late(Ran::No));
        }
        place.check(now)
    }

    async fn in_time<T>(&self, work: impl Future<Output = T>) -> Result<T, Error> {
        timeout_at(self.job.deadline().into(), work)
            .await
            .map_err(|_| {
                self.job.attempts.note(Ran::Unknown);
                self.late(Ran::Unknown)
            })
    }

    fn late(&self, ran: Ran) -> Error {
        Error::Deadline {
            limit: self.job.limit,
            ran,
        }
    }
}
