//! Calls of plain services.

use crate::Error;
use crate::app::App;
use crate::dispatch::assignment::Assignment;
use crate::dispatch::attempts::Attempts;
use crate::dispatch::search::Search;
use backend::{Call, Ran, Reply, Service};
use contract::BackendId;
use ledger::record::{Answer, Claim, Key, Outcome, Permit};
use policy::placement::Query;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of backend servers that a repeatable call is sent to.
const MAX_ATTEMPTS: usize = 3;

/// Header stored with the recorded answer of a call.
const CONTENT_TYPE: &str = "content-type";

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Name of the plain service.
    pub service: String,
    /// The call.
    pub call: Call,
}

/// A call that has passed the checks of its contract.
struct Job<'a> {
    app: &'a Arc<App>,
    invocation: Invocation,
    slots: u32,
    limit: Duration,
    deadline: Instant,
}

/// Executes a call of a customer.
pub async fn service(
    app: &Arc<App>,
    customer: &str,
    mut invocation: Invocation,
) -> Result<Reply, Error> {
    let _admission = app.admit()?;
    let config = app.config();
    let contract = config.contract(customer).ok_or(Error::Unauthenticated)?;
    let spec = config.service(&invocation.service).ok_or(Error::NotFound)?;
    if !contract.services.contains(&invocation.service) {
        return Err(Error::Forbidden(invocation.service));
    }
    invocation.call.customer = customer.to_owned();
    invocation.call.request_id = app.next_request_id();
    let repeatable = repeatable(spec, &invocation.call);
    let limit = Duration::from_millis(spec.timeout_ms);
    let job = Job {
        app,
        invocation,
        slots: spec.slots,
        limit,
        deadline: Instant::now() + limit,
    };
    if repeatable {
        return job.run_repeatable().await;
    }
    job.run_once().await
}

impl Job<'_> {
    /// Runs a repeatable call, with retries on other backend servers.
    async fn run_repeatable(&self) -> Result<Reply, Error> {
        let attempts = Attempts::default();
        let reply = self.attempt_all(&attempts).await;
        reply.map_err(|error| attempts.annotate(error))
    }

    async fn attempt_all(&self, attempts: &Attempts) -> Result<Reply, Error> {
        let mut tried = Vec::new();
        loop {
            let assignment = self.assign(&tried).await?;
            tried.push(assignment.backend.clone());
            match self.send(assignment).await {
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    attempts.record(error.ran());
                    if tried.len() >= MAX_ATTEMPTS || !self.app.scheduler.may_retry() {
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Runs a call that must not be repeated, once its idempotency key has been claimed.
    async fn run_once(&self) -> Result<Reply, Error> {
        let key = self.key()?;
        let config = self.app.config();
        match self.app.claims.claim(&config, &key).await {
            Ok(Claim::Run(permit)) => self.run_claimed(permit).await,
            Ok(Claim::Answer(Answer::Finished(outcome))) => replay(&outcome),
            Ok(Claim::Answer(Answer::InProgress(_))) => Err(Error::InProgress),
            Ok(Claim::Answer(Answer::Unknown)) => Err(Error::UnknownOutcome),
            Err(ledger::Error::Conflict) => Err(Error::KeyReused),
            Err(error) => {
                log::warn!(event = 1405; "idempotency key could not be claimed: {error}");
                Err(Error::Platform)
            }
        }
    }

    /// Runs a claimed call. The claim is released if the call has certainly not been executed.
    async fn run_claimed(&self, mut permit: Permit) -> Result<Reply, Error> {
        let assignment = match self.assign(&[]).await {
            Ok(assignment) => assignment,
            Err(error) => {
                self.app.claims.release(permit).await;
                return Err(error);
            }
        };
        permit.mark_dispatched();
        match self.send(assignment).await {
            Ok(reply) => {
                let headers = reply
                    .content_type
                    .iter()
                    .map(|value| (CONTENT_TYPE.to_owned(), value.clone()))
                    .collect();
                self.app
                    .claims
                    .finish(permit, reply.status, headers, &reply.body)
                    .await;
                Ok(reply)
            }
            Err(error) => {
                if error.ran() == Ran::No {
                    permit.mark_refused();
                    self.app.claims.release(permit).await;
                }
                Err(error)
            }
        }
    }

    fn key(&self) -> Result<Key, Error> {
        let call = &self.invocation.call;
        let key = call.idempotency_key.as_deref().ok_or(Error::KeyMissing)?;
        let path = format!("{}{}", self.invocation.service, call.path);
        Key::new(&call.customer, key, &call.method, &path, &call.body)
            .map_err(|error| Error::Malformed(error.to_string()))
    }

    async fn send(&self, assignment: Assignment) -> Result<Reply, Error> {
        let now = Instant::now();
        self.app.replica.may_start(now).map_err(|_| Error::Stale)?;
        assignment.check(now)?;
        let left = self.limit.min(self.deadline.saturating_duration_since(now));
        let client = Service::new(&self.app.pool);
        let call = client.call(&assignment.backend, self.invocation.call.clone(), left);
        match call.await {
            Ok(reply) => {
                assignment.complete();
                Ok(reply)
            }
            Err(source) => {
                assignment.fail(&source);
                Err(Error::Backend { source })
            }
        }
    }

    async fn assign(&self, tried: &[BackendId]) -> Result<Assignment, Error> {
        let search = Search {
            app: self.app,
            pool: &self.invocation.service,
            tried,
            capacity: self.slots,
            deadline: self.deadline,
            isolate: false,
        };
        let slot = search
            .acquire(|requestable, _| self.choose(&search, requestable))
            .await?;
        Ok(Assignment::new(self.app, slot, None))
    }

    fn choose(&self, search: &Search<'_>, requestable: u32) -> Option<BackendId> {
        let listing = self.app.fleet.listing();
        let query = Query {
            prefix_hash: None,
            zone: &self.app.settings.zone,
            preferred: None,
            avoid: search.tried.last().map(String::as_str),
        };
        let service = &self.invocation.service;
        self.app
            .scheduler
            .place_service(&listing.servers, service, &query, |id| {
                let server = listing.get(id)?;
                search.load(server, requestable)
            })
    }
}

/// Returns the recorded answer of an earlier call with the same key.
fn replay(outcome: &Outcome) -> Result<Reply, Error> {
    let content_type = outcome
        .headers
        .iter()
        .find(|(name, _)| name == CONTENT_TYPE)
        .map(|(_, value)| value.clone());
    Ok(Reply {
        status: outcome.status,
        content_type,
        body: outcome.body().ok_or(Error::AnswerNotKept)?,
    })
}

/// Whether a call may be repeated, by its most specific route. Calls without a route may not.
fn repeatable(spec: &contract::Service, call: &Call) -> bool {
    spec.routes
        .iter()
        .filter(|route| route.method.eq_ignore_ascii_case(&call.method))
        .filter(|route| is_under(&call.path, &route.prefix))
        .max_by_key(|route| route.prefix.len())
        .is_some_and(|route| route.repeatable)
}

/// Whether a path equals the prefix or lies below it.
fn is_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}
