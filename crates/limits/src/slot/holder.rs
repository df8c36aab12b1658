//! The node that sends against granted slots.

use super::{Grant, Outcome, Permit, Refusal, Request, Settings, lane::Lane};
use contract::{BackendId, Map};
use std::time::Instant;

/// What this node may send to which backend server.
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
    lanes: Map<BackendId, Lane>,
}

impl Holder {
    /// Holds nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            lanes: Map::default(),
        }
    }

    /// Occupies a slot for one request. A refusal is remembered as demand.
    pub fn acquire(&mut self, now: Instant, backend: &str) -> Result<Permit, Refusal> {
        if !self.lanes.contains_key(backend) {
            self.lanes.insert(backend.to_owned(), Lane::new());
        }
        let Some(lane) = self.lanes.get_mut(backend) else {
            return Err(Refusal::Expired(backend.to_owned()));
        };
        let (expires, fence) = lane.acquire(now, backend, &self.settings)?;
        Ok(Permit {
            backend: backend.to_owned(),
            expires,
            fence,
        })
    }

    /// Frees the slot of a request; true when its outcome is a sign of a cold start.
    pub fn release(&mut self, now: Instant, permit: Permit, outcome: &Outcome) -> bool {
        match self.lanes.get_mut(&permit.backend) {
            Some(lane) => lane.release(now, outcome, &self.settings),
            None => false,
        }
    }

    /// Takes a grant from a home.
    pub fn grant(&mut self, backend: &str, grant: &Grant) {
        if let Some(lane) = self.lanes.get_mut(backend) {
            lane.grant(grant, &self.settings);
        }
    }

    /// Requests to send to homes now.
    pub fn requests_due(&mut self, now: Instant) -> Vec<(BackendId, Request)> {
        let settings = &self.settings;
        self.lanes
            .iter_mut()
            .filter_map(|(backend, lane)| {
                let request = lane.request_due(now, settings)?;
                Some((backend.clone(), request))
            })
            .collect()
    }

    /// A backend server has another home, which must hear what is in flight.
    pub fn home_changed(&mut self, now: Instant, backend: &str) {
        self.lanes
            .entry(backend.to_owned())
            .or_insert_with(Lane::new)
            .report(now);
    }

    /// Gives all slots back; work in flight goes on.
    pub fn close(&mut self, now: Instant) {
        self.lanes.values_mut().for_each(|lane| lane.close(now));
    }

    /// Forgets backend servers that are gone, once nothing is in flight there.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.lanes
            .retain(|backend, lane| lane.in_flight() > 0 || known(backend));
    }

    /// Slots free for new work at a backend server now.
    pub fn free(&self, now: Instant, backend: &str) -> u32 {
        self.lanes.get(backend).map_or(0, |lane| lane.free(now))
    }

    /// Requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.lanes.get(backend).map_or(0, Lane::in_flight)
    }
}
