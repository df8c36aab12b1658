//! A chat request with everything that is resolved before it runs.

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

/// A chat request with its contract and the versions that may answer it.
pub(super) struct Job {
    pub(super) app: Arc<App>,
    pub(super) request: Request,
    pub(super) contract: Contract,
    pub(super) target: Target,
    pub(super) request_id: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) started: Instant,
    pub(super) limit: Duration,
    /// Outcome of the failed attempts so far.
    pub(super) attempts: Arc<Attempts>,
    _admission: Admission,
    session: Option<Session>,
}

impl Job {
    /// Checks a request against its contract. A refused request has not been executed.
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
            limit: time_limit(&target),
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

    /// Maximum answer length in tokens: the caller's limit, capped by that of the contract.
    pub(super) fn max_tokens(&self) -> u64 {
        let expected = self.target.expected.as_ref();
        let limit = expected.map_or(DEFAULT_MAX_TOKENS, |task| task.max_tokens);
        let limit = u64::from(limit);
        self.request.max_tokens.unwrap_or(limit).min(limit)
    }

    /// Chooses the versions that answer the request.
    pub(super) fn plan(&self) -> Result<Selection, Error> {
        let app = &self.app;
        let config = app.config();
        let listing = app.fleet.listing();
        let offered: Vec<_> = self
            .target
            .candidates
            .iter()
            .map(|candidate| {
                let ready = listing
                    .with_version(&candidate.served_name())
                    .any(|server| app.accepts_new_work(&config, server));
                ((candidate.model.as_str(), &candidate.spec), ready)
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
            session: session.map(|session| (session.model.as_str(), session.version.as_str())),
            budget: app
                .budgets
                .state(self.customer(), self.contract.spend.as_ref()),
            nodes: app.node_count(),
            priority: self.contract.priority,
            weight: self.contract.weight,
        };
        app.scheduler
            .plan(&config, &requirements, &offered)
            .map_err(|refusal| self.refusal_error(refusal))
    }

    /// Opens the account of the request, and reserves the maximum cost if the contract has a budget.
    pub(super) async fn open_account(&self, selection: &Selection) -> Result<Account, Error> {
        let app = &self.app;
        let reservation = match &self.contract.spend {
            None => None,
            Some(budget) => {
                let max_cost = selection.max_cost;
                let reserved =
                    app.budgets
                        .reserve(self.customer(), budget, max_cost, app.node_count());
                Some(reserved.await.map_err(|refusal| match refusal {
                    limits::Refusal::Unfunded => Error::Platform,
                    _ => Error::Spent {
                        retry_after: until_renewal(budget),
                    },
                })?)
            }
        };
        Ok(Account::new(
            app,
            self.customer(),
            &self.request_id,
            reservation,
        ))
    }

    /// Candidate for a model and version.
    pub(super) fn candidate(
        &self,
        (model, version): &(String, String),
    ) -> Result<&Candidate, Error> {
        self.target
            .candidates
            .iter()
            .find(|candidate| candidate.model == *model && candidate.version == *version)
            .ok_or_else(|| Error::Forbidden(format!("{model}@{version}")))
    }

    /// Session token that pins later requests to a version.
    pub(super) fn token(&self, candidate: &Candidate) -> String {
        self.app.signer.sign(&Session {
            customer: self.customer().clone(),
            model: candidate.model.clone(),
            version: candidate.version.clone(),
        })
    }

    fn refusal_error(&self, refusal: policy::Refusal) -> Error {
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

fn time_limit(target: &Target) -> Duration {
    match &target.expected {
        Some(task) => Duration::from_millis(task.deadline_ms),
        None => DEFAULT_DEADLINE,
    }
}
