//! All backend servers of a site.

use super::{Outcome, Query, Refusal, Server, Settings, rank};
use crate::server::Listing;
use crate::{NodeName, ServerId, Zone};
use contract::{Map, Set};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// All backend servers of a site, and the choice among them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
    zones_out: Set<Zone>,
    /// Requests that this node may send to a cold backend server in one window, by service.
    ramps: Map<String, usize>,
}

impl Pool {
    /// Knows no backend server.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The backend servers by id.
    pub fn servers(&self) -> &BTreeMap<ServerId, Server> {
        &self.servers
    }

    /// Takes in a backend server's entry.
    pub fn list(&mut self, now: Instant, listing: Listing) {
        match self.servers.get_mut(&listing.id) {
            Some(server) if server.listing.born == listing.born => server.update(listing, now),
            _ => {
                let server = Server::new(listing.clone(), now);
                self.servers.insert(listing.id, server);
            }
        }
    }

    /// Forgets a backend server. Work that is on it goes on; the node learns its end from there.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Sets the availability zones that are to get nothing. Backend servers of one that is taken
    /// back are cold for the time given by service.
    pub fn set_zones_out(
        &mut self,
        now: Instant,
        zones: Set<Zone>,
        cold: impl Fn(&str) -> Duration,
    ) {
        for server in self.servers.values_mut() {
            let zone = &server.listing.zone;
            if self.zones_out.contains(zone) && !zones.contains(zone) {
                server.cold_until = now + cold(&server.listing.service);
            }
        }
        self.zones_out = zones;
    }

    /// Sets how many requests this node may send to a cold backend server in one window.
    pub fn set_ramps(&mut self, ramps: Map<String, usize>) {
        self.ramps = ramps;
    }

    /// Takes in the requests that another node has on backend servers.
    pub fn set_others(&mut self, node: &NodeName, loads: &Map<ServerId, u32>) {
        for (id, server) in &mut self.servers {
            match loads.get(id) {
                Some(&load) => server.others.insert(node.clone(), load),
                None => server.others.remove(node),
            };
        }
    }

    /// Chooses a backend server among those that `allows` takes.
    pub fn pick(
        &mut self,
        now: Instant,
        query: &Query,
        allows: impl Fn(&Listing) -> bool,
    ) -> Result<Listing, Refusal> {
        let window = self.settings.cold_window;
        let mut best: Option<(f64, &ServerId)> = None;
        let mut refusal = Refusal::Absent;
        let first = self.first_choice(query, &allows);
        for (id, server) in &mut self.servers {
            if !Self::fits(&self.zones_out, server, query) || !allows(&server.listing) {
                continue;
            }
            refusal = Refusal::Full;
            if !server.breaker.open(now) || server.is_full(now) {
                continue;
            }
            let most = server.listing.slots + self.settings.queue;
            if server.load() >= most {
                continue;
            }
            let ramp = self.ramps.get(query.service).copied();
            let cold = now < server.cold_until;
            if let (true, Some(most)) = (cold, ramp)
                && !server.ramp.admits(now, window, most)
            {
                continue;
            }
            let cost = cost(
                &self.settings,
                now,
                server,
                query,
                first.as_ref() == Some(id),
                cold,
            );
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        let id = best.map(|(_, id)| id.clone()).ok_or(refusal)?;
        Ok(self.servers[&id].listing.clone())
    }

    /// The backend server that all nodes send a prompt's shared parts to while it has room.
    fn first_choice(&self, query: &Query, allows: impl Fn(&Listing) -> bool) -> Option<ServerId> {
        let subject = query.work.subject()?;
        self.servers
            .iter()
            .filter(|(_, server)| Self::fits(&self.zones_out, server, query))
            .filter(|(_, server)| allows(&server.listing))
            .max_by_key(|(id, _)| rank(subject, id))
            .map(|(id, _)| id.clone())
    }

    fn fits(zones_out: &Set<Zone>, server: &Server, query: &Query) -> bool {
        let listing = &server.listing;
        listing.service == query.service
            && server.takes_work()
            && !zones_out.contains(&listing.zone)
            && !query.tried.contains(&listing.id)
    }

    /// Counts a request as sent; gives the tokens of its prompt that the engine has yet to read.
    pub fn begin(&mut self, now: Instant, id: &str, query: &Query) -> f64 {
        let Some(server) = self.servers.get_mut(id) else {
            return 0.0;
        };
        server.breaker.begin(now);
        if now < server.cold_until {
            server.ramp.record(now);
        }
        server.open += 1;
        let missing = server.missing(now, query, &self.settings);
        server.unread += missing;
        server.read(now, query, &self.settings);
        missing
    }

    /// Takes in that an engine has read the prompt: its first event is there.
    pub fn prompt_read(&mut self, id: &str, tokens: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.unread = (server.unread - tokens).max(0.0);
        }
    }

    /// Takes in the end of a request.
    pub fn end(&mut self, now: Instant, id: &str, outcome: Outcome, rng: &mut impl Rng) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.open = server.open.saturating_sub(1);
        if server.open == 0 {
            server.unread = 0.0;
        }
        server.learn(now, outcome, &self.settings, rng);
    }

    /// Requests that this node has on backend servers.
    pub fn loads(&self) -> Map<ServerId, u32> {
        let busy = self.servers.iter().filter(|(_, server)| server.open > 0);
        busy.map(|(id, server)| (id.clone(), server.open)).collect()
    }
}

/// What a request costs on a backend server, in milliseconds: its own time there and what it adds
/// to the requests beside it.
fn cost(
    settings: &Settings,
    now: Instant,
    server: &Server,
    query: &Query,
    first: bool,
    cold: bool,
) -> f64 {
    let millis = |time: Duration| time.as_secs_f64() * 1e3;
    let load = f64::from(server.load());
    let (model, pace) = query.model.unwrap_or(("", 1.0));
    let crowd = 2.0 * load * query.work.output * pace * millis(settings.step_per_request);
    let missing = match first && !model.is_empty() {
        // Other nodes have sent the shared parts there.
        true => query.work.parts.last().map_or(0.0, |(_, tokens)| *tokens),
        false => server.missing(now, query, settings),
    };
    let read = (missing + server.unread) * pace / settings.read_rate;
    let queue = match query.work.output > 0.0 {
        true => 0.0,
        false => load * 10.0,
    };
    let zone = match server.listing.zone == query.zone {
        true => 0.0,
        false => millis(settings.zone_cost),
    };
    let cold = if cold { 1000.0 } else { 0.0 };
    crowd + read + queue + zone + cold + server.failures * millis(settings.failure_cost)
}
