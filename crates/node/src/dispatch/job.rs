//! One chat request and all that was found out about it before it runs.

use crate::Error;
use crate::app::{Admission, App};
use crate::dispatch::account::Account;
use crate::dispatch::attempts::Attempts;
use crate::dispatch::{Candidate, Request, Session, Target, resolve};
use crate::schedule::{
    DEFAULT_DEADLINE, DEFAULT_MAX_TOKENS, Requirements, Selection, until_renewal,
};
use contract::{Contract, CustomerId};
use limits::suspect::{Fingerprint, Verdict};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request with its contract and what may answer it.
pub(super) struct Job {
    pub(super) app: Arc<App>,
    pub(super) request: Request,
    pub(super) contract: Contract,
    pub(super) target: Target,
    pub(super) request_id: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) started: Instant,
    pub(super) limit: Duration,
    /// What the attempts so far have come to.
    pub(super) attempts: Arc<Attempts>,
    _admission: Admission,
    session: Option<Session>,
}

impl Job {
    /// Checks a request against its contract; nothing has run when it is refused.
    pub(super) fn new(
        app: &Arc<App>,
        customer: &str,
        request: Request,
        token: Option<&str>,
    ) -> Result<Self, Error> {
        let admission = app.admit()?;
        if !app.bills.has_room() {
            return Err(Error::Platform);
        }
        let config = app.config();
        let contract = config.contract(customer).ok_or(Error::Unauthenticated)?;
        let session = token.map(|token| app.signer.verify(token)).transpose()?;
        let target = resolve(&config, contract, &request.target, session.as_ref())?;
        let fingerprint = request.fingerprint(customer);
        if let Verdict::Refused(retry_after) = app.verdict(&fingerprint) {
            return Err(Error::Crashing {
                retry_after,
                ran: backend::Ran::No,
            });
        }
        Ok(Self {
            app: Arc::clone(app),
            contract: contract.clone(),
            request_id: app.next_request_id(),
            started: Instant::now(),
            limit: limit(&target),
            target,
            request,
            fingerprint,
            attempts: Arc::default(),
            _admission: admission,
            session,
        })
    }

    pub(super) fn customer(&self) -> &CustomerId {
        &self.contract.customer
    }

    pub(super) fn deadline(&self) -> Instant {
        self.started + self.limit
    }

    /// Longest answer in tokens.
    pub(super) fn max_tokens(&self) -> u64 {
        let expected = self.target.expected.as_ref();
        let most = expected.map_or(DEFAULT_MAX_TOKENS, |task| task.max_tokens);
        let most = u64::from(most);
        self.request.max_tokens.unwrap_or(most).min(most)
    }

    /// Chooses the versions that answer.
    pub(super) fn plan(&self) -> Result<Selection, Error> {
        let app = &self.app;
        let config = app.config();
        let listing = app.fleet.listing();
        let offered: Vec<_> = self
            .target
            .candidates
            .iter()
            .map(|one| {
                let ready = listing
                    .with_version(&one.served())
                    .any(|server| app.accepts_new_work(&config, server));
                ((one.model.as_str(), &one.spec), ready)
            })
            .collect();
        let session = self.session.as_ref();
        let requirements = Requirements {
            customer: self.customer(),
            task: &self.target.task,
            expected: self.target.expected.as_ref(),
            stream: self.request.stream,
            left: Some(self.limit),
            prompt_tokens: self.request.prompt_tokens(),
            session: session.map(|one| (one.model.as_str(), one.version.as_str())),
            budget: app
                .budgets
                .state(self.customer(), self.contract.spend.as_ref()),
            nodes: app.node_count(),
            priority: self.contract.priority,
            weight: self.contract.weight,
        };
        app.scheduler
            .plan(&config, &requirements, &offered)
            .map_err(|refusal| self.refuse(refusal))
    }

    /// Opens the bill, and sets money aside where the contract has a budget.
    pub(super) async fn open_account(&self, selection: &Selection) -> Result<Account, Error> {
        let app = &self.app;
        let hold = match &self.contract.spend {
            None => None,
            Some(budget) => {
                let micros = selection.max_cost;
                let held = app
                    .budgets
                    .reserve(self.customer(), budget, micros, app.node_count());
                Some(held.await.map_err(|refusal| match refusal {
                    limits::Refusal::Unfunded => Error::Platform,
                    _ => Error::Spent {
                        retry_after: until_renewal(budget),
                    },
                })?)
            }
        };
        Ok(Account::new(app, self.customer(), &self.request_id, hold))
    }

    /// The candidate of a model and version.
    pub(super) fn candidate(
        &self,
        (model, version): &(String, String),
    ) -> Result<&Candidate, Error> {
        self.target
            .candidates
            .iter()
            .find(|one| one.model == *model && one.version == *version)
            .ok_or_else(|| Error::Forbidden(format!("{model}@{version}")))
    }

    /// Token of the session that continues on a version.
    pub(super) fn token(&self, candidate: &Candidate) -> String {
        self.app.signer.sign(&Session {
            customer: self.customer().clone(),
            model: candidate.model.clone(),
            version: candidate.version.clone(),
        })
    }

    fn refuse(&self, refusal: policy::Refusal) -> Error {
        match refusal {
            policy::Refusal::Budget { .. } => Error::Spent {
                retry_after: self
                    .contract
                    .spend
                    .as_ref()
                    .map_or(Duration::ZERO, until_renewal),
            },
            policy::Refusal::Forbidden => Error::Forbidden(self.request.target.clone()),
            policy::Refusal::Session { model, version } => {
                Error::Withdrawn(format!("{model}@{version}"))
            }
            policy::Refusal::Unavailable => Error::Capacity(self.request.target.clone()),
        }
    }
}

fn limit(target: &Target) -> Duration {
    match &target.expected {
        Some(task) => Duration::from_millis(task.deadline_ms),
        None => DEFAULT_DEADLINE,
    }
}
