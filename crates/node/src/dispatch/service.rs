//! Answers a call of a plain service.

use crate::Error;
use crate::app::App;
use crate::dispatch::attempts::Attempts;
use crate::dispatch::place::{Need, Place};
use backend::{Call, Ran, Reply, Service};
use contract::BackendId;
use ledger::record::{Answer, Claim, Key, Stored, Ticket};
use policy::placement::Query;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Backend servers that one repeatable call may be sent to.
const MAX_ATTEMPTS: usize = 3;

/// Header that is kept with the record of a call.
const CONTENT_TYPE: &str = "content-type";

/// A call as the caller sent it.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Plain service.
    pub service: String,
    /// The call.
    pub call: Call,
}

/// A call that the contract allows.
struct Task<'a> {
    app: &'a Arc<App>,
    invocation: Invocation,
    slots: u32,
    limit: Duration,
    deadline: Instant,
}

/// Answers a call of a customer.
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
    let task = Task {
        app,
        invocation,
        slots: spec.slots,
        limit,
        deadline: Instant::now() + limit,
    };
    if repeatable {
        return task.repeat().await;
    }
    task.once().await
}

impl Task<'_> {
    /// Sends a call that may be repeated, to another backend server where one fails.
    async fn repeat(&self) -> Result<Reply, Error> {
        let attempts = Attempts::default();
        let reply = self.attempt_all(&attempts).await;
        reply.map_err(|error| attempts.tell(error))
    }

    async fn attempt_all(&self, attempts: &Attempts) -> Result<Reply, Error> {
        let mut tried = Vec::new();
        loop {
            let place = self.place(&tried).await?;
            tried.push(place.backend.clone());
            match self.send(place).await {
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    attempts.note(error.ran());
                    if tried.len() >= MAX_ATTEMPTS || !self.app.scheduler.may_retry() {
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Sends a call that may not be repeated, under a record that nobody else holds.
    async fn once(&self) -> Result<Reply, Error> {
        let key = self.key()?;
        let config = self.app.config();
        match self.app.claims.claim(&config, &key).await {
            Ok(Claim::Run(ticket)) => self.run(ticket).await,
            Ok(Claim::Answer(Answer::Finished(stored))) => replay(&stored),
            Ok(Claim::Answer(Answer::InProgress(_))) => Err(Error::InProgress),
            Ok(Claim::Answer(Answer::Unknown)) => Err(Error::UnknownOutcome),
            Err(ledger::Error::Conflict) => Err(Error::KeyReused),
            Err(error) => {
                log::warn!(event = 1405; "call can't be claimed: {error}");
                Err(Error::Platform)
            }
        }
    }

    async fn run(&self, mut ticket: Ticket) -> Result<Reply, Error> {
        let place = match self.place(&[]).await {
            Ok(place) => place,
            Err(error) => {
                self.app.claims.release(ticket).await;
                return Err(error);
            }
        };
        ticket.dispatch();
        match self.send(place).await {
            Ok(reply) => {
                let headers = reply
                    .content_type
                    .iter()
                    .map(|value| (CONTENT_TYPE.to_owned(), value.clone()))
                    .collect();
                self.app
                    .claims
                    .finish(ticket, reply.status, headers, &reply.body)
                    .await;
                Ok(reply)
            }
            Err(error) => {
                if error.ran() == Ran::No {
                    ticket.refused();
                    self.app.claims.release(ticket).await;
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

    async fn send(&self, place: Place) -> Result<Reply, Error> {
        let now = Instant::now();
        self.app.replica.may_start(now).map_err(|_| Error::Stale)?;
        place.check(now)?;
        let left = self.limit.min(self.deadline.saturating_duration_since(now));
        let client = Service::new(&self.app.pool);
        let call = client.call(&place.backend, self.invocation.call.clone(), left);
        match call.await {
            Ok(reply) => {
                place.complete();
                Ok(reply)
            }
            Err(source) => {
                place.fail(&source);
                Err(Error::Backend { source })
            }
        }
    }

    async fn place(&self, tried: &[BackendId]) -> Result<Place, Error> {
        let need = Need {
            app: self.app,
            what: &self.invocation.service,
            tried,
            capacity: self.slots,
            deadline: self.deadline,
            suspect: false,
        };
        let hold = need.hold(|spare, _| self.choose(&need, spare)).await?;
        Ok(Place::new(self.app, hold, None))
    }

    fn choose(&self, need: &Need<'_>, spare: u32) -> Option<BackendId> {
        let listing = self.app.fleet.listing();
        let query = Query {
            prefix_hash: None,
            zone: &self.app.settings.zone,
            preferred: None,
            avoid: need.tried.last().map(String::as_str),
        };
        let service = &self.invocation.service;
        self.app
            .scheduler
            .place_service(&listing.servers, service, &query, |id| {
                let server = listing.get(id)?;
                need.load(server, spare)
            })
    }
}

/// The kept answer of a call that ran before.
fn replay(stored: &Stored) -> Result<Reply, Error> {
    let content_type = stored
        .headers
        .iter()
        .find(|(name, _)| name == CONTENT_TYPE)
        .map(|(_, value)| value.clone());
    Ok(Reply {
        status: stored.status,
        content_type,
        body: stored.body().ok_or(Error::AnswerNotKept)?,
    })
}

/// Whether a call may be repeated; one that matches no route may not.
fn repeatable(spec: &contract::Service, call: &Call) -> bool {
    spec.routes
        .iter()
        .filter(|route| route.method.eq_ignore_ascii_case(&call.method))
        .filter(|route| under(&call.path, &route.prefix))
        .max_by_key(|route| route.prefix.len())
        .is_some_and(|route| route.repeatable)
}

/// Whether a path is the prefix itself or lies below it.
fn under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}
