//! All backend servers of a site.

use super::{
    Baselines, Capacity, Estimator, Load, Outcome, Query, Ratio, Refusal, Server, Settings, Speeds,
    Stage, name_hash, rank,
};
use crate::server::Listing;
use crate::{NodeName, ServerId, ServiceName, Zone};
use contract::{Map, Set};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What an engine has to read before a first event, in tokens that a model of middle size would read
/// in the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prefill {
    /// Of the request's own prompt.
    pub own: f64,
    /// Of the prompts that came before.
    pub ahead: f64,
}

/// A short name of a backend server, for what nodes tell each other often.
pub type Tag = u32;

/// The short name of a backend server.
///
/// ```
/// assert_eq!(route::pool::tag("i-1"), route::pool::tag("i-1"));
/// ```
pub fn tag(id: &str) -> Tag {
    contract::stable_hash([id]) as Tag
}

/// All backend servers of a site, and the choice among them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
    tags: Map<Tag, ServerId>,
    /// Work of the other nodes.
    others: Map<NodeName, Map<Tag, Load>>,
    zones_out: Set<Zone>,
    norms: Baselines,
    /// How long engines take, by service.
    laws: Map<ServiceName, Estimator>,
    /// What the backend servers bear, by service.
    bearings: Map<ServiceName, Capacity>,
    /// Hashes of the nodes that share what cold backend servers bear, this one first.
    nodes: Vec<u64>,
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
    pub fn upsert(&mut self, now: Instant, listing: Listing) {
        match self.servers.get_mut(&listing.id) {
            Some(server) if server.listing.started_ms == listing.started_ms => {
                server.update(listing, now)
            }
            _ => {
                let mut server = Server::new(listing.clone(), now);
                let tag = tag(&listing.id);
                let others = self.others.values().filter_map(|loads| loads.get(&tag));
                server.remote_load = others.fold(Load::default(), |sum, load| sum.plus(*load));
                server.cold_share = self.cold_share(&server);
                self.tags.insert(tag, listing.id.clone());
                self.servers.insert(listing.id, server);
            }
        }
    }

    /// Forgets a backend server. Work that is on it goes on; the node learns its end from there.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(id);
        self.tags.remove(&tag(id));
    }

    /// Sets the availability zones that are to get nothing. Backend servers of one that is taken
    /// back are cold.
    pub fn set_zones_out(&mut self, now: Instant, zones: Set<Zone>) {
        for server in self.servers.values_mut() {
            let zone = &server.listing.zone;
            if self.zones_out.contains(zone) && !zones.contains(zone) {
                let bearing = self.bearings.get(&server.listing.service);
                server.cold_until =
                    now + bearing.map_or(Duration::ZERO, |bearing| bearing.cold_duration);
            }
        }
        self.zones_out = zones;
    }

    /// Sets what backend servers bear, by service, and the nodes that share it, this one first.
    pub fn set_capacities(&mut self, bearings: Map<ServiceName, Capacity>, nodes: &[NodeName]) {
        self.bearings = bearings;
        self.nodes = nodes.iter().map(|node| name_hash(node)).collect();
        let shares: Vec<_> = self
            .servers
            .values()
            .map(|server| self.cold_share(server))
            .collect();
        for (server, share) in self.servers.values_mut().zip(shares) {
            server.cold_share = share;
        }
    }

    /// Requests that this node may send to a cold backend server in one window. Where there are
    /// more nodes than requests, all nodes agree without a word on those that may send one.
    fn cold_share(&self, server: &Server) -> usize {
        let bearing = self.bearings.get(&server.listing.service);
        let Some(rate) = bearing.and_then(|bearing| bearing.cold_rate) else {
            return usize::MAX;
        };
        let whole = rate * self.settings.cold_fraction;
        let nodes = self.nodes.len().max(1);
        let each = (whole / nodes as f64) as usize;
        let Some(own) = self.nodes.first() else {
            return each;
        };
        if each > 0 {
            return each;
        }
        let own = rank(server.hash, *own);
        let before = self
            .nodes
            .iter()
            .filter(|node| rank(server.hash, **node) > own);
        usize::from((before.count() as f64) < whole.floor())
    }

    /// Takes in the requests that another node has on backend servers, by tag.
    pub fn set_remote_loads(&mut self, node: &NodeName, loads: Map<Tag, Load>) {
        let before = match loads.is_empty() {
            true => self.others.remove(node),
            false => self.others.insert(node.clone(), loads.clone()),
        };
        for (tag, load) in before.unwrap_or_default() {
            if let Some(server) = self.tags.get(&tag).and_then(|id| self.servers.get_mut(id)) {
                server.remote_load = server.remote_load.minus(load);
            }
        }
        for (tag, load) in loads {
            if let Some(server) = self.tags.get(&tag).and_then(|id| self.servers.get_mut(id)) {
                server.remote_load = server.remote_load.plus(load);
            }
        }
    }

    /// Chooses a backend server among those that `allows` takes.
    ///
    /// Looks at some of them, drawn anew for each request, and at all where none of these will do:
    /// many nodes that choose the best of all by the same old word of their loads choose the same.
    pub fn pick(
        &self,
        now: Instant,
        query: &Query,
        allows: impl Fn(&Listing) -> bool,
    ) -> Result<Listing, Refusal> {
        let first = self.first_choice(query, &allows);
        let sample = self.sample(query.service);
        let bearing = self.bearings.get(query.service);
        let bearing = bearing.copied().unwrap_or_default();
        let speeds = self.estimator(query.service).speeds();
        // The best one, with its cost and whether it was drawn: those that were go first.
        let mut best: Option<(bool, f64, &Server)> = None;
        let mut refusal = Refusal::NoServer;
        for (id, server) in &self.servers {
            if !self.fits(server, query) || !allows(&server.listing) {
                continue;
            }
            refusal = Refusal::Full;
            let first = first == Some(id);
            let drawn = first || rank(query.draw, server.hash) <= sample;
            let passed_over = !drawn && best.is_some_and(|(drawn, ..)| drawn);
            if passed_over || !self.has_room(now, server) {
                continue;
            }
            let cost = cost(&self.settings, &speeds, now, server, query, &bearing, first);
            if best.is_none_or(|(other, least, _)| drawn && !other || cost < least) {
                best = Some((drawn, cost, server));
            }
        }
        let (.., server) = best.ok_or(refusal)?;
        Ok(server.listing.clone())
    }

    /// Ranks up to which backend servers of a service are looked at.
    fn sample(&self, service: &str) -> u64 {
        let servers = self.servers.values();
        let open =
            servers.filter(|server| server.listing.service == service && server.accepts_work());
        let each = self.settings.fleet_sample / self.nodes.len().max(1) as f64;
        let part = each.max(self.settings.min_sample) / open.count().max(1) as f64;
        // A part above 1 saturates.
        (part * u64::MAX as f64) as u64
    }

    /// The backend server that all nodes send a prompt's shared parts to while it has room.
    fn first_choice(&self, query: &Query, allows: impl Fn(&Listing) -> bool) -> Option<&ServerId> {
        let subject = query.work.shared_prefix()?;
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| self.fits(server, query) && allows(&server.listing))
            .max_by_key(|(_, server)| rank(subject, server.hash))
            .map(|(id, _)| id)
    }

    /// Whether a backend server bears one more request of this node.
    fn has_room(&self, now: Instant, server: &Server) -> bool {
        if !server.breaker.open(now) || server.is_full(now) {
            return false;
        }
        if server.load().requests >= server.listing.slots + self.settings.max_queued {
            return false;
        }
        let cold = now < server.cold_until;
        let window = self.settings.cold_window;
        !cold || server.ramp.admits(now, window, server.cold_share)
    }

    fn fits(&self, server: &Server, query: &Query) -> bool {
        let listing = &server.listing;
        listing.service == query.service
            && server.accepts_work()
            && !self.zones_out.contains(&listing.zone)
            && !query.tried.contains(&listing.id)
    }

    /// How long engines of a service take.
    pub fn estimator(&self, service: &str) -> Estimator {
        let known = self.laws.get(service).copied();
        known.unwrap_or_else(|| Estimator::new(&self.settings))
    }

    /// Counts a request as sent; gives what the engine has to read before its first event.
    pub fn start_request(&mut self, now: Instant, id: &str, query: &Query) -> Prefill {
        let Some(server) = self.servers.get_mut(id) else {
            return Prefill::default();
        };
        server.breaker.begin(now);
        if now < server.cold_until {
            server.ramp.record(now, self.settings.cold_window);
        }
        server.own_load = server.own_load.plus(load_of(query));
        let pace = query.model.map_or(0.0, |(_, pace)| pace);
        let own = server.uncached_tokens(now, query, &self.settings) * pace;
        let ahead = server.load().pending_prefill;
        server.own_load.pending_prefill += own;
        server.record_parts(now, query, &self.settings);
        Prefill { own, ahead }
    }

    /// Takes in how long a first event took. The times of a cold backend server say nothing.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        listing: &Listing,
        reading: Prefill,
        millis: f64,
    ) {
        let server = self.servers.get(&listing.id);
        if server.is_none_or(|server| now < server.cold_until) {
            return;
        }
        self.law_mut(&listing.service)
            .prefill
            .add(reading.own + reading.ahead, millis);
    }

    fn law_mut(&mut self, service: &str) -> &mut Estimator {
        let settings = &self.settings;
        let law = self.laws.entry(service.to_owned());
        law.or_insert_with(|| Estimator::new(settings))
    }

    /// Takes in that an engine has read the prompt: its first event is there.
    pub fn finish_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.pending_prefill = (server.own_load.pending_prefill - tokens).max(0.0);
        }
    }

    /// Takes in that a backend server broke off an answer; whether that is the first one for a while.
    /// What follows at once is the same crash.
    pub fn record_break(&mut self, now: Instant, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let before = server.broke.replace(now);
        before.is_none_or(|at| now.saturating_duration_since(at) >= self.settings.crash_window)
    }

    /// Takes in that a backend server has given something.
    pub fn record_activity(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.heard = Some(now);
        }
    }

    /// Whether a backend server has given something to a request of this node just now.
    pub fn is_active(&self, now: Instant, id: &str) -> bool {
        let heard = self.servers.get(id).and_then(|server| server.heard);
        heard.is_some_and(|at| now.saturating_duration_since(at) < self.settings.active_time)
    }

    /// Takes in how long a stage of a request took on a backend server; gives how many times the
    /// usual time that is. A reference moves what is usual. The times of a cold backend server say
    /// nothing.
    pub fn record_latency(
        &mut self,
        now: Instant,
        listing: &Listing,
        model: &str,
        stage: Stage,
        millis: f64,
        reference: bool,
    ) -> Option<Ratio> {
        let server = self.servers.get(&listing.id);
        if server.is_some_and(|server| now < server.cold_until) {
            return None;
        }
        let weight = server.map_or(0.0, |server| server.load().weight);
        let service = &listing.service;
        let tokens = self
            .bearings
            .get(service)
            .map_or(0.0, |bearing| bearing.event_tokens);
        let crowding = match stage {
            Stage::EventInterval => self.estimator(service).contention(weight),
            Stage::FirstEvent | Stage::FullAnswer => 1.0,
        };
        if stage == Stage::EventInterval && tokens > 0.0 && reference {
            self.law_mut(service).step.add(weight, millis / tokens);
        }
        let alone = millis / crowding;
        let ratio = self.norms.ratio(service, model, stage, alone, reference)?;
        // The time to a first event says more of the prompt than of the engine.
        let server = self.servers.get_mut(&listing.id);
        if let (Stage::EventInterval | Stage::FullAnswer, Some(server)) = (stage, server) {
            server.record_latency(ratio.to_mean, &self.settings);
        }
        Some(ratio)
    }

    /// Takes in the end of a request.
    pub fn finish_request(
        &mut self,
        now: Instant,
        id: &str,
        load: Load,
        outcome: Outcome,
        rng: &mut impl Rng,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.own_load = server.own_load.minus(load);
        if server.own_load.requests == 0 {
            server.own_load.pending_prefill = 0.0;
        }
        server.record_outcome(now, outcome, &self.settings, rng);
    }

    /// How many times as long a step of a service's engines takes as alone, on average over those
    /// that take new work, by what is assumed of engines. Learned steps hold prompts that are read
    /// between them as well, which pass sooner than the answers beside them.
    pub fn contention(&self, service: &str) -> f64 {
        let servers = self.servers.values();
        let open =
            servers.filter(|server| server.listing.service == service && server.accepts_work());
        let (count, weight) = open.fold((0.0, 0.0), |(count, weight), server| {
            (count + 1.0, weight + server.load().weight)
        });
        let mean = if count > 0.0 { weight / count } else { 0.0 };
        Estimator::new(&self.settings).contention(mean)
    }

    /// Work of this node and of some others on backend servers, by tag.
    pub fn loads_with(&self, told: impl Fn(&str) -> bool) -> BTreeMap<Tag, Load> {
        let mut loads: BTreeMap<Tag, Load> = self.own_loads().collect();
        let others = self.others.iter().filter(|(node, _)| told(node));
        for (tag, load) in others.flat_map(|(_, others)| others) {
            let sum = loads.entry(*tag).or_default();
            *sum = sum.plus(*load);
        }
        loads
    }

    /// Work that this node has on backend servers, by tag.
    pub fn own_loads(&self) -> impl Iterator<Item = (Tag, Load)> {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| server.own_load.requests > 0)
            .map(|(id, server)| (tag(id), server.own_load))
    }
}

/// What a request adds to a backend server's work.
pub fn load_of(query: &Query) -> Load {
    Load {
        requests: 1,
        tokens: query.work.prompt_tokens + query.work.output_tokens,
        weight: query.model.map_or(0.0, |(_, pace)| pace),
        // Known once it has a place.
        pending_prefill: 0.0,
    }
}

/// What a request costs on a backend server, in milliseconds: its own time there, what it adds to
/// the requests beside it, and what it takes away from others.
fn cost(
    settings: &Settings,
    speeds: &Speeds,
    now: Instant,
    server: &Server,
    query: &Query,
    bearing: &Capacity,
    first: bool,
) -> f64 {
    let millis = |time: Duration| time.as_secs_f64() * 1e3;
    let load = server.load();
    let mut cost = server.failure_rate * millis(settings.failure_cost);
    if now < server.cold_until {
        cost += millis(settings.cold_cost);
    }
    if server.listing.zone != query.zone {
        cost += query.work.kilobytes * millis(settings.zone_cost);
    }
    let Some((_, pace)) = query.model else {
        let ahead = f64::from(load.requests) / f64::from(server.listing.slots.max(1));
        let work = (1.0 + ahead) * (1.0 + ahead) * server.slowness;
        return cost + work * millis(settings.queue_cost);
    };
    let others = f64::from(load.requests);
    let per_weight = speeds.step_per_weight;
    let step = speeds.step + per_weight * (load.weight + pace);
    cost += query.work.output_tokens * step * server.slowness;
    // Each of its steps takes longer for all others too.
    cost += query.work.output_tokens
        * per_weight
        * pace
        * server.slowness
        * others
        * settings.contention_weight;
    let mut missing = server.uncached_tokens(now, query, settings);
    if first {
        // Other nodes have sent the shared parts there.
        let own = query.work.parts.last().map_or(0.0, |(_, tokens)| *tokens);
        missing = missing.min(own);
    }
    let reading = missing * pace * server.slowness / speeds.prefill_rate;
    cost += reading * (settings.prefill_weight + others * settings.prefill_contention_weight);
    cost += load.pending_prefill * settings.queued_prefill_weight * server.slowness
        / speeds.prefill_rate;
    if bearing.memory_tokens > 0.0 {
        let used = (load.tokens + load_of(query).tokens) / bearing.memory_tokens;
        cost += (used - settings.memory_threshold).max(0.0) * millis(settings.memory_cost);
    }
    cost
}
