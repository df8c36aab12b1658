//! Balance of a service's load between zones.

use super::{Scope, Settings, State};
use crate::Zone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// Largest departed share that the estimate uses: what remains in the zone has to be enough to estimate
/// the whole from.
const MAX_KNOWN_SHARE: f64 = 0.9;

/// Change of the departed share from which it is reported.
const REPORTED_CHANGE: f64 = 0.1;

/// What a request costs in a zone, in milliseconds.
pub trait Cost {
    /// Expected time on a server in the mean state of a zone, failures included.
    fn time(&self, mean: &State) -> f64;
    /// Work in progress on servers, in any unit.
    fn work(&self, servers: &State) -> f64;
    /// Cost of a transfer to another zone, as time that a request may wait longer in its own zone.
    fn transfer(&self) -> f64;
}

/// Smoothed loads of a service's backend servers by zone, and the share of the requests that leave the
/// own zone.
///
/// Each node decides for itself by the sums that all nodes know. From the load of its zone and the share
/// of requests that were sent elsewhere it estimates the load that the zone would have with all of its
/// requests, and from that the share with which all zones are equally loaded. The estimate doesn't depend
/// on what is sent elsewhere at present, so nodes that decide on equally old sums don't oscillate.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    settings: Settings,
    zones: BTreeMap<Zone, State>,
    updated: Option<Instant>,
    /// The last decision.
    decision: Decision,
    /// Share of the requests in progress that were sent to other zones.
    departed: f64,
    decided: Option<Instant>,
    /// Share in progress when a change was last taken.
    reported: f64,
}

/// What was decided for the requests of a zone, and what it was decided by.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Share of the requests that leaves.
    pub share: f64,
    /// Expected milliseconds of the last request in its own zone, if all requests of the zone stayed.
    pub own_millis: f64,
    /// Expected milliseconds in the other zones, if none of these requests went there.
    pub other_millis: f64,
}

impl Balance {
    /// Creates a balance that knows no zone.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether the averages are due for an update.
    pub fn is_due(&self, now: Instant) -> bool {
        self.updated
            .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.interval)
    }

    /// Updates the averages from the sums over the servers that take work, by zone.
    ///
    /// ```
    /// use route::zone::{Balance, State};
    /// use std::collections::BTreeMap;
    /// let now = std::time::Instant::now();
    /// let mut balance = Balance::default();
    /// balance.update(now, &BTreeMap::from([("a".to_owned(), State::default())]));
    /// assert!(!balance.is_due(now));
    /// ```
    pub fn update(&mut self, now: Instant, zones: &BTreeMap<Zone, State>) {
        let elapsed = self.updated.replace(now).map(|at| {
            let elapsed = now.saturating_duration_since(at);
            elapsed.as_secs_f64() / self.settings.smoothing.as_secs_f64()
        });
        let weight = elapsed.map_or(1.0, |elapsed| 1.0 - (-elapsed).exp());
        self.zones.retain(|zone, _| zones.contains_key(zone));
        for (zone, state) in zones {
            match self.zones.get_mut(zone) {
                Some(known) => known.approach(state, weight),
                None => {
                    self.zones.insert(zone.clone(), *state);
                }
            }
        }
    }

    /// Returns the zones that a request may use. `draw` is uniform between 0 and 1.
    pub fn scope(&mut self, now: Instant, own: &str, draw: f64, cost: &impl Cost) -> Scope {
        let Some(here) = self.zones.get(own).filter(|_| self.is_enabled()) else {
            return Scope::All;
        };
        let here = *here;
        if here.servers < 1.0 {
            return Scope::others(self.others(own).map(|(zone, _)| zone));
        }
        let others = self.others(own).map(|(_, state)| state);
        let there = others.fold(State::default(), |sum, state| sum.plus(state));
        let time = |state: &State| cost.time(&state.mean());
        self.follow(now, time(&here));
        self.decision = self.decide(&here, &there, cost);
        if draw >= self.decision.share {
            return Scope::Own;
        }
        let times = self.others(own).map(|(_, state)| time(state));
        let best = times.fold(f64::INFINITY, f64::min);
        let near = self.others(own);
        let near = near.filter(|(_, state)| time(state) <= best + cost.transfer());
        Scope::others(near.map(|(zone, _)| zone))
    }

    /// The other zones that have servers.
    fn others<'a>(&'a self, own: &'a str) -> impl Iterator<Item = (&'a Zone, &'a State)> {
        let zones = self.zones.iter();
        zones.filter(move |(zone, state)| *zone != own && state.servers >= 1.0)
    }

    /// Returns the last decision.
    pub fn decision(&self) -> Decision {
        self.decision
    }

    /// Returns the departed share of the requests in progress, and the last decision, if the share has
    /// changed by a tenth since it was last taken.
    pub fn take_change(&mut self) -> Option<(f64, Decision)> {
        if (self.departed - self.reported).abs() < REPORTED_CHANGE {
            return None;
        }
        self.reported = self.departed;
        Some((self.departed, self.decision))
    }

    /// Updates the departed share of the requests in progress. It lags behind decisions as the loads do.
    fn follow(&mut self, now: Instant, request_millis: f64) {
        let elapsed = self
            .decided
            .replace(now)
            .map(|at| now.saturating_duration_since(at));
        let lag = self.settings.delay.as_secs_f64() + request_millis / 1e3;
        let weight = 1.0 - (-elapsed.unwrap_or_default().as_secs_f64() / lag).exp();
        self.departed += weight * (self.decision.share - self.departed);
    }

    /// Decides on the share that is sent elsewhere so that the servers of all zones are equally loaded;
    /// none if a transfer costs more than it saves.
    fn decide(&self, here: &State, there: &State, cost: &impl Cost) -> Decision {
        let kept = 1.0 - self.departed.min(MAX_KNOWN_SHARE);
        let demand = cost.work(here) / kept;
        let total = cost.work(here) + cost.work(there);
        if demand <= 0.0 {
            return Decision::default();
        }
        let own_alone = here.with_requests(1.0 / kept);
        let foreign = (total - demand).max(0.0) / cost.work(there).max(f64::MIN_POSITIVE);
        let others_alone = there.with_requests(foreign.min(1.0));
        let capacity =
            here.capacity() / (here.capacity() + there.capacity()).max(f64::MIN_POSITIVE);
        let even = 1.0 - total * capacity / demand - self.settings.dead_band;
        let mut decision = Decision {
            share: even.clamp(0.0, 1.0),
            own_millis: cost.time(&own_alone.mean()),
            other_millis: cost.time(&others_alone.mean()),
        };
        if decision.own_millis - decision.other_millis <= cost.transfer() {
            decision.share = 0.0;
        }
        decision
    }

    /// Whether requests prefer their own zone: the service has several zones, one with enough servers.
    fn is_enabled(&self) -> bool {
        let servers = self.zones.values().map(|state| state.servers as usize);
        self.zones.len() > 1 && servers.max() >= Some(self.settings.min_servers)
    }
}
