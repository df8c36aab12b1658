//! The node as a holder of slots.

use super::{Grant, Outcome, Permit, Refusal, Request, Settings, backend::Backend};
use contract::{BackendId, Map};
use std::time::Instant;

/// Slots that this node holds, by backend server.
///
/// ```
/// use limits::slot::{Grant, Holder, Outcome, Settings};
/// use std::time::{Duration, Instant};
/// let settings = Settings::default();
/// let mut holder = Holder::new(settings.clone());
/// let now = Instant::now();
/// assert!(holder.acquire(now, "e1").is_err());
/// let (backend, request) = holder.requests_due(now).remove(0);
/// let grant = Grant { sequence: request.sequence, slots: 1, ttl: settings.ttl, fence: 7 };
/// holder.grant(&backend, &grant);
/// let permit = holder.acquire(now, "e1").unwrap();
/// assert_eq!(permit.check(now), Ok(7));
/// assert!(permit.check(now + settings.ttl).is_err());
/// holder.release(now, permit, &Outcome::Cancelled);
/// ```
#[derive(Debug)]
pub struct Holder {
    settings: Settings,
    backends: Map<BackendId, Backend>,
}

impl Holder {
    /// Creates a holder without slots.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            backends: Map::default(),
        }
    }

    /// Occupies a slot for one request. A refusal counts as demand in the next request to the home.
    pub fn acquire(&mut self, now: Instant, backend: &str) -> Result<Permit, Refusal> {
        if !self.backends.contains_key(backend) {
            self.backends.insert(backend.to_owned(), Backend::new());
        }
        let Some(state) = self.backends.get_mut(backend) else {
            return Err(Refusal::Expired(backend.to_owned()));
        };
        let (expires, fence) = state.acquire(now, backend, &self.settings)?;
        Ok(Permit {
            backend: backend.to_owned(),
            expires,
            fence,
        })
    }

    /// Frees the slot of a request. Returns whether its outcome indicates a cold start.
    pub fn release(&mut self, now: Instant, permit: Permit, outcome: &Outcome) -> bool {
        match self.backends.get_mut(&permit.backend) {
            Some(state) => state.release(now, outcome, &self.settings),
            None => false,
        }
    }

    /// Applies a grant from a home.
    pub fn grant(&mut self, backend: &str, grant: &Grant) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.grant(grant, &self.settings);
        }
    }

    /// Requests that are due to be sent to homes now.
    pub fn requests_due(&mut self, now: Instant) -> Vec<(BackendId, Request)> {
        let settings = &self.settings;
        self.backends
            .iter_mut()
            .filter_map(|(backend, state)| {
                let request = state.request_due(now, settings)?;
                Some((backend.clone(), request))
            })
            .collect()
    }

    /// Notes that a backend server has another home, to which the requests in flight are reported.
    pub fn home_changed(&mut self, now: Instant, backend: &str) {
        self.backends
            .entry(backend.to_owned())
            .or_insert_with(Backend::new)
            .report_to_new_home(now);
    }

    /// Returns all slots. Requests in flight continue.
    pub fn close(&mut self, now: Instant) {
        self.backends
            .values_mut()
            .for_each(|state| state.close(now));
    }

    /// Drops backend servers for which `known` returns false, once nothing is in flight there.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.backends
            .retain(|backend, state| state.in_flight() > 0 || known(backend));
    }

    /// Number of slots at a backend server that are free for new requests now.
    pub fn free(&self, now: Instant, backend: &str) -> u32 {
        self.backends
            .get(backend)
            .map_or(0, |state| state.free(now))
    }

    /// Number of requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.backends.get(backend).map_or(0, Backend::in_flight)
    }
}
