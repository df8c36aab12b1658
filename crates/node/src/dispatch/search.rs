//! Search for a free slot at a backend server.

use crate::Error;
use crate::app::App;
use crate::fleet::Server;
use crate::slot::Guard;
use contract::BackendId;
use policy::placement::Load;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum wait for a slot at one backend server before another one is tried.
const SERVER_WAIT: Duration = Duration::from_millis(50);

/// Maximum wait for a slot at any backend server.
const TOTAL_WAIT: Duration = Duration::from_secs(3);

/// Maximum wait of a request suspected of crashes for an idle backend server.
const ISOLATION_WAIT: Duration = Duration::from_secs(1);

/// Search for a free slot at the backend servers of a pool.
pub(super) struct Search<'a> {
    pub(super) app: &'a Arc<App>,
    /// Name of the pool, also used in error messages.
    pub(super) pool: &'a str,
    /// Backend servers that have already failed the request.
    pub(super) tried: &'a [BackendId],
    /// Number of concurrent requests of a warm backend server.
    pub(super) capacity: u32,
    /// Deadline of the request.
    pub(super) deadline: Instant,
    /// Whether the request is suspected of crashing backend servers and should run on an idle one.
    pub(super) isolate: bool,
}

impl Search<'_> {
    /// Acquires a slot at the backend server that `choose` returns. Its arguments are the number of
    /// slots that can be requested beyond the granted ones, and whether the server must be idle.
    pub(super) async fn acquire(
        &self,
        choose: impl Fn(u32, bool) -> Option<BackendId>,
    ) -> Result<Guard, Error> {
        let started = Instant::now();
        let end = self.deadline.min(started + TOTAL_WAIT);
        loop {
            let now = Instant::now();
            let idle_only = self.isolate && now < started + ISOLATION_WAIT;
            if let Some(free) = choose(0, idle_only)
                && let Ok(slot) = self.app.slots.acquire(&free)
            {
                return Ok(slot);
            }
            let wait = SERVER_WAIT.min(end.saturating_duration_since(now));
            match choose(1, idle_only) {
                Some(next) => {
                    if let Ok(slot) = self.app.slots.acquire_within(&next, wait).await {
                        return Ok(slot);
                    }
                }
                None if idle_only => sleep(wait).await,
                None => return Err(self.no_capacity()),
            }
            if Instant::now() >= end {
                return Err(self.no_capacity());
            }
        }
    }

    fn no_capacity(&self) -> Error {
        Error::Capacity(self.pool.to_owned())
    }

    /// Load of a backend server; `None` if it can't accept the request or has no free slot. `requestable`
    /// slots beyond the granted ones count as free.
    pub(super) fn load(&self, server: &Server, requestable: u32) -> Option<Load> {
        let app = self.app;
        if self.tried.contains(&server.id) || !app.accepts_new_work(&app.config(), server) {
            return None;
        }
        if !app.breakers.allows_request(Instant::now(), &server.id) {
            return None;
        }
        let free = app.slots.available(&server.id) + requestable;
        (free > 0).then(|| Load {
            free_slots: free,
            capacity: self.capacity,
            unreported: app.slots.in_flight(&server.id),
            ..Load::default()
        })
    }
}
