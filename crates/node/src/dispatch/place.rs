//! A place at a backend server: a slot from its home, and leave of the queue before its pool.

use crate::Error;
use crate::app::App;
use crate::fleet::Server;
use crate::schedule::Permit;
use crate::slot::Guard;
use contract::{BackendId, Revision};
use limits::slot::Outcome;
use policy::placement::Load;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest wait for a slot at one backend server before another is looked for.
const SLOT_STEP: Duration = Duration::from_millis(50);

/// Longest wait for a slot at any backend server.
const SLOT_WAIT: Duration = Duration::from_secs(3);

/// Longest wait of a suspect of crashes for a backend server that runs nothing else.
const ALONE_WAIT: Duration = Duration::from_secs(1);

/// A search for a slot.
pub(super) struct Need<'a> {
    pub(super) app: &'a Arc<App>,
    /// What is asked for, for error messages.
    pub(super) what: &'a str,
    /// Backend servers that have failed at the request.
    pub(super) tried: &'a [BackendId],
    /// Requests that a warm backend server carries at once.
    pub(super) capacity: u32,
    /// When the request is no longer of use.
    pub(super) deadline: Instant,
    /// Whether the request is suspected of crashing backend servers: it runs alone if it can.
    pub(super) suspect: bool,
}

/// A slot in use; it is given back when dropped.
pub(super) struct Place {
    app: Arc<App>,
    pub(super) backend: BackendId,
    hold: Guard,
    taken: Instant,
    first_byte: Option<Duration>,
    _permit: Option<Permit>,
}

impl Need<'_> {
    /// Occupies a slot at the backend server that `choose` names, given the slots of each that its
    /// home may still grant, and whether the request has to run alone.
    pub(super) async fn hold(
        &self,
        choose: impl Fn(u32, bool) -> Option<BackendId>,
    ) -> Result<Guard, Error> {
        let started = Instant::now();
        let end = self.deadline.min(started + SLOT_WAIT);
        loop {
            let now = Instant::now();
            let alone = self.suspect && now < started + ALONE_WAIT;
            if let Some(free) = choose(0, alone)
                && let Ok(hold) = self.app.slots.acquire(&free)
            {
                return Ok(hold);
            }
            let wait = SLOT_STEP.min(end.saturating_duration_since(now));
            match choose(1, alone) {
                Some(next) => {
                    if let Ok(hold) = self.app.slots.acquire_within(&next, wait).await {
                        return Ok(hold);
                    }
                }
                None if alone => sleep(wait).await,
                None => return Err(self.none()),
            }
            if Instant::now() >= end {
                return Err(self.none());
            }
        }
    }

    fn none(&self) -> Error {
        Error::Capacity(self.what.to_owned())
    }

    /// Load of a backend server that may receive new work and has a free slot, counting `spare`
    /// slots that its home may still grant.
    pub(super) fn load(&self, server: &Server, spare: u32) -> Option<Load> {
        let app = self.app;
        if self.tried.contains(&server.id) || !app.accepts_new_work(&app.config(), server) {
            return None;
        }
        if !app.breakers.allows_request(Instant::now(), &server.id) {
            return None;
        }
        let free = app.slots.available(&server.id) + spare;
        (free > 0).then(|| Load {
            free_slots: free,
            capacity: self.capacity,
            unreported: app.slots.in_flight(&server.id),
            ..Load::default()
        })
    }
}

impl Place {
    pub(super) fn new(app: &Arc<App>, hold: Guard, permit: Option<Permit>) -> Self {
        Self {
            app: Arc::clone(app),
            backend: hold.backend().clone(),
            hold,
            taken: Instant::now(),
            first_byte: None,
            _permit: permit,
        }
    }

    /// Checks, last thing before bytes leave, that the slot may still be used; gives the fencing
    /// number.
    pub(super) fn check(&self, now: Instant) -> Result<Revision, Error> {
        let none = || Error::Capacity(self.backend.clone());
        let fence = self.hold.check(now).map_err(|_| none())?;
        if !self.app.breakers.try_acquire(now, &self.backend) {
            return Err(none());
        }
        Ok(fence)
    }

    /// Notes that the answer has begun.
    pub(super) fn began(&mut self) {
        self.first_byte = Some(self.taken.elapsed());
    }

    /// Gives the place back after a whole answer.
    pub(super) fn complete(self) {
        self.app.breakers.record_success(&self.backend);
        let first_byte = self.first_byte.unwrap_or_else(|| self.taken.elapsed());
        self.hold.release(&Outcome::Completed { first_byte });
    }

    /// Gives the place back after a failure.
    pub(super) fn fail(self, error: &backend::Error) {
        let outcome = outcome(error);
        if !matches!(outcome, Outcome::Cancelled | Outcome::Refused) {
            self.app
                .breakers
                .record_failure(Instant::now(), &self.backend);
        }
        self.hold.release(&outcome);
    }
}

fn outcome(error: &backend::Error) -> Outcome {
    use backend::Error;
    match error {
        Error::Connect(_) | Error::ConnectionLost(_) | Error::Truncated => Outcome::Disconnected,
        Error::Refused { .. } => Outcome::Refused,
        Error::TimedOut(_) => Outcome::Stalled,
        Error::Failed { .. } | Error::Malformed(_) => Outcome::Failed,
        Error::Rejected { .. } | Error::Oversized { .. } => Outcome::Cancelled,
    }
}
