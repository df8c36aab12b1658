//! All backend servers of a site.

use super::price::Price;
use super::{
    Baselines, Capacity, Departures, Estimator, Limit, Load, Obstacle, Outcome, Query, Ratio,
    Refusal, Server, Settings, Stage, Terms, name_hash, rank,
};
use crate::server::Listing;
use crate::zone::{self, Balance, Scope, State};
use crate::{NodeName, ServerId, ServiceName, Zone};
use contract::{Map, Set};
use lru::LruCache;
use rand::Rng;
use rustc_hash::FxBuildHasher;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Prompt tokens that an engine has to process before the first event of a request, converted to the
/// number that a medium-sized model would process in the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prefill {
    /// Tokens of the request's own prompt.
    pub own: f64,
    /// Tokens of the prompts queued before it.
    pub ahead: f64,
}

/// 32-bit hash of a backend server's id, which identifies it in frequent messages between nodes.
pub type Tag = u32;

/// Returns the tag of a backend server.
///
/// ```
/// assert_eq!(route::pool::tag("i-1"), route::pool::tag("i-1"));
/// ```
pub fn tag(id: &str) -> Tag {
    contract::stable_hash([id]) as Tag
}

/// Distinguishes the draw that decides whether a request leaves its zone from that of the sample.
const ZONE_HASH: u64 = 0x7a6f_6e65;

/// Maximum number of servers whose limits are remembered after their entries were removed.
const MAX_UNLISTED_LIMITS: usize = 1024;

/// All backend servers of a site, and the choice among them.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) settings: Settings,
    pub(super) servers: BTreeMap<ServerId, Server>,
    tags: Map<Tag, ServerId>,
    /// Loads that the other nodes have reported.
    remote_loads: Map<NodeName, Map<Tag, Load>>,
    pub(super) zones_out: Set<Zone>,
    baselines: Baselines,
    /// Latency estimators of engines, by service.
    estimators: Map<ServiceName, Estimator>,
    /// Balances between zones, by service.
    pub(super) balances: Map<ServiceName, Balance>,
    /// Capacities of backend servers, by service.
    pub(super) capacities: Map<ServiceName, Capacity>,
    /// Starts of backend servers that have said that they are leaving.
    departures: Departures,
    /// Limits of backend servers whose entries were removed, with their starts.
    unlisted_limits: LruCache<ServerId, (u64, Limit), FxBuildHasher>,
    /// Hashes of the nodes that share the capacity of cold backend servers, this one first.
    pub(super) node_hashes: Vec<u64>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            tags: Map::default(),
            remote_loads: Map::default(),
            zones_out: Set::default(),
            baselines: Baselines::default(),
            estimators: Map::default(),
            balances: Map::default(),
            capacities: Map::default(),
            departures: Departures::default(),
            unlisted_limits: LruCache::unbounded_with_hasher(FxBuildHasher),
            node_hashes: Vec::new(),
        }
    }

    /// Returns the backend servers by id.
    pub fn servers(&self) -> &BTreeMap<ServerId, Server> {
        &self.servers
    }

    /// Adds a backend server, updates its entry, or replaces it if it has restarted.
    pub fn upsert(&mut self, now: Instant, listing: Listing) {
        match self.servers.get_mut(&listing.id) {
            Some(server) if server.listing.started_ms == listing.started_ms => {
                server.update(listing, now)
            }
            _ => {
                let mut server = Server::new(listing.clone(), now);
                let tag = tag(&listing.id);
                let loads = self
                    .remote_loads
                    .values()
                    .filter_map(|loads| loads.get(&tag));
                server.remote_load = loads.fold(Load::default(), |sum, load| sum.plus(*load));
                server.cold_quota = self.cold_quota(&server);
                server.is_leaving = self.departures.contains(&listing.id, listing.started_ms);
                server.limit = self
                    .unlisted_limits
                    .pop(&listing.id)
                    .filter(|(started_ms, _)| *started_ms == listing.started_ms)
                    .map(|(_, limit)| limit);
                self.tags.insert(tag, listing.id.clone());
                self.servers.insert(listing.id, server);
            }
        }
    }

    /// Removes a backend server. Its open requests continue, and the node learns their outcome from
    /// their connections. A start that was leaving stays so if a restored store lists it again.
    pub fn remove(&mut self, id: &str) {
        let removed = self.servers.remove(id);
        if let Some(server) = removed.as_ref().filter(|server| !server.accepts_work()) {
            self.departures.insert(id, server.listing.started_ms);
        }
        if let Some((started_ms, limit)) =
            removed.and_then(|server| Some((server.listing.started_ms, server.limit?)))
        {
            self.unlisted_limits.put(id.to_owned(), (started_ms, limit));
            if self.unlisted_limits.len() > MAX_UNLISTED_LIMITS {
                self.unlisted_limits.pop_lru();
            }
        }
        self.tags.remove(&tag(id));
    }

    /// Records that a start of a backend server has said that it is leaving; returns whether that
    /// is new. It holds for this start, also if its entry expires and comes back.
    pub fn record_leaving(&mut self, id: &str, started_ms: u64) -> bool {
        let is_new = self.departures.insert(id, started_ms);
        if let Some(server) = self.servers.get_mut(id)
            && server.listing.started_ms == started_ms
        {
            server.is_leaving = true;
        }
        is_new
    }

    /// Returns the starts of backend servers that have said that they are leaving.
    pub fn departures(&self) -> impl Iterator<Item = (&ServerId, u64)> {
        self.departures.iter()
    }

    /// Records that a start of a backend server has asked this node for a pause.
    pub fn record_pause(&mut self, now: Instant, id: &str, started_ms: u64, pause: Duration) {
        if let Some(server) = self.servers.get_mut(id)
            && server.listing.started_ms == started_ms
        {
            server.pause(now, pause);
        }
    }

    /// Sets the availability zones that get no requests. Backend servers of a zone that comes back are
    /// cold.
    pub fn set_zones_out(&mut self, now: Instant, zones: Set<Zone>) {
        for server in self.servers.values_mut() {
            let zone = &server.listing.zone;
            if self.zones_out.contains(zone) && !zones.contains(zone) {
                let capacity = self.capacities.get(&server.listing.service);
                server.cold_until =
                    now + capacity.map_or(Duration::ZERO, |capacity| capacity.cold_duration);
            }
        }
        self.zones_out = zones;
    }

    /// Sets the capacities of backend servers, by service, and the nodes that share them and the
    /// servers' limits, this one first.
    pub fn set_capacities(
        &mut self,
        now: Instant,
        capacities: Map<ServiceName, Capacity>,
        nodes: &[NodeName],
    ) {
        self.capacities = capacities;
        self.node_hashes = nodes.iter().map(|node| name_hash(node)).collect();
        let quotas: Vec<_> = self
            .servers
            .values()
            .map(|server| self.cold_quota(server))
            .collect();
        for (server, quota) in self.servers.values_mut().zip(quotas) {
            server.cold_quota = quota;
        }
        self.update_limit_shares(now);
    }

    /// Returns the number of requests that this node may send to a cold backend server per window. If
    /// there are more nodes than requests, rendezvous hashing selects the nodes that may send one.
    fn cold_quota(&self, server: &Server) -> usize {
        let capacity = self.capacities.get(&server.listing.service);
        let Some(rate) = capacity.and_then(|capacity| capacity.cold_rate) else {
            return usize::MAX;
        };
        let whole = rate * self.settings.cold_fraction;
        let nodes = self.node_hashes.len().max(1);
        let each = (whole / nodes as f64) as usize;
        let Some(own) = self.node_hashes.first() else {
            return each;
        };
        if each > 0 {
            return each;
        }
        let own = rank(server.hash, *own);
        let before = self
            .node_hashes
            .iter()
            .filter(|node| rank(server.hash, **node) > own);
        usize::from((before.count() as f64) < whole.floor())
    }

    /// Sets the loads that another node reports, by tag of the backend server.
    pub fn set_remote_loads(&mut self, node: &NodeName, loads: Map<Tag, Load>) {
        let before = match loads.is_empty() {
            true => self.remote_loads.remove(node),
            false => self.remote_loads.insert(node.clone(), loads.clone()),
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

    /// Chooses the backend server with the lowest cost among those that `allows` accepts.
    ///
    /// It considers a random sample of the servers, and all of them only if none of the sample has
    /// capacity. If every node chose the best of all, many nodes would choose the same one on the same
    /// outdated loads.
    pub fn pick(
        &self,
        now: Instant,
        query: &Query,
        allows: impl Fn(&Listing) -> bool,
    ) -> Result<Listing, Refusal> {
        self.pick_in(now, query, &Scope::All, allows)
    }

    /// Chooses a backend server like `pick`, with the sample drawn from some zones. Servers elsewhere
    /// are considered if none of the sample has capacity, or if they have cached a long prompt.
    pub fn pick_in(
        &self,
        now: Instant,
        query: &Query,
        scope: &Scope,
        allows: impl Fn(&Listing) -> bool,
    ) -> Result<Listing, Refusal> {
        let in_scope = |listing: &Listing| scope.includes(&listing.zone, query.zone);
        let preferred = self.preferred_server(query, scope, &allows);
        let threshold = self.sample_threshold(query.service, in_scope);
        let capacity = self.capacities.get(query.service);
        let capacity = capacity.copied().unwrap_or_default();
        let speeds = self.estimator(query.service).speeds();
        // The best server with its cost, and whether it is in the sample, which takes precedence.
        let mut best: Option<(bool, f64, &Server)> = None;
        let mut refusal = Refusal::NoServer;
        for (id, server) in &self.servers {
            if !self.is_eligible(server, query) || !allows(&server.listing) {
                continue;
            }
            refusal = match (server.wait(now), refusal) {
                (None, _) | (_, Refusal::Full) => Refusal::Full,
                (Some(left), Refusal::Paused(least)) => Refusal::Paused(left.min(least)),
                (Some(left), Refusal::NoServer) => Refusal::Paused(left),
            };
            let preferred = preferred == Some(id);
            let drawn = || rank(query.draw, server.hash) <= threshold;
            let sampled = preferred || in_scope(&server.listing) && drawn();
            let skipped = !sampled && best.is_some_and(|(sampled, ..)| sampled);
            if skipped || !self.has_capacity(now, server) {
                continue;
            }
            let settings = &self.settings;
            let terms = Terms::of(settings, &speeds, now, server, query, &capacity, preferred);
            let cost = terms.total();
            if best.is_none_or(|(other, least, _)| sampled && !other || cost < least) {
                best = Some((sampled, cost, server));
            }
        }
        let (.., server) = best.ok_or(refusal)?;
        Ok(server.listing.clone())
    }

    /// Returns the milliseconds that a request is expected to take on a backend server, beside its load
    /// without a part of it.
    pub fn expected_millis(&self, query: &Query, id: &str, without: Load) -> f64 {
        let Some(server) = self.servers.get(id) else {
            return f64::INFINITY;
        };
        let mut state = State::default();
        let load = server.load().minus(without);
        state.add(
            server.listing.slots,
            load,
            server.failure_rate,
            server.slowness,
        );
        let speeds = self.estimator(query.service).speeds();
        zone::Cost::time(&Price::new(&self.settings, speeds, query), &state)
    }

    /// Returns the milliseconds until the next event of a request on a backend server, beside its load
    /// without a part of it. The prompt is yet to be read if the answer hasn't begun.
    pub fn next_event_millis(
        &self,
        query: &Query,
        id: &str,
        without: Load,
        has_begun: bool,
    ) -> f64 {
        let Some(server) = self.servers.get(id) else {
            return 0.0;
        };
        let load = server.load().minus(without);
        let weight = query.model.map_or(0.0, |(_, weight)| weight);
        let speeds = self.estimator(query.service).speeds();
        let capacity = self.capacities.get(query.service);
        let tokens = capacity.map_or(1.0, |capacity| capacity.event_tokens.max(1.0));
        let steps = tokens * (speeds.step + speeds.step_per_weight * (load.weight + weight));
        let own = if has_begun {
            0.0
        } else {
            query.work.prompt_tokens * weight
        };
        (steps + (load.pending_prefill + own) / speeds.prefill_rate) * server.slowness
    }

    /// Returns the zones whose servers are sampled for a request.
    pub fn scope(&mut self, now: Instant, query: &Query) -> Scope {
        self.update_balance(now, query.service);
        let speeds = self.estimator(query.service).speeds();
        // A request that is sent again goes to the best server anywhere.
        let Some(balance) = self
            .balances
            .get_mut(query.service)
            .filter(|_| query.tried.is_empty())
        else {
            return Scope::All;
        };
        let cost = Price::new(&self.settings, speeds, query);
        balance.scope(now, query.zone, zone_draw(query), &cost)
    }

    /// Returns the share of a service's requests that were sent to other zones, and the last decision, if
    /// the share has changed since it was last taken.
    pub fn take_zone_change(&mut self, service: &str) -> Option<(f64, zone::Decision)> {
        self.balances.get_mut(service)?.take_change()
    }

    /// Updates the balance of a service between zones if it is due.
    fn update_balance(&mut self, now: Instant, service: &str) {
        if !self.balances.contains_key(service) {
            let balance = Balance::new(self.settings.zones.clone());
            self.balances.insert(service.to_owned(), balance);
        }
        let Some(balance) = self
            .balances
            .get_mut(service)
            .filter(|balance| balance.is_due(now))
        else {
            return;
        };
        let mut zones: BTreeMap<Zone, State> = BTreeMap::new();
        for server in self.servers.values() {
            let listing = &server.listing;
            if listing.service != service || self.zones_out.contains(&listing.zone) {
                continue;
            }
            if !zones.contains_key(&listing.zone) {
                zones.insert(listing.zone.clone(), State::default());
            }
            let is_usable = server.accepts_work()
                && now >= server.cold_until
                && server.breaker.allows_request(now);
            if let Some(state) = zones.get_mut(&listing.zone).filter(|_| is_usable) {
                state.add(
                    listing.slots,
                    server.load(),
                    server.failure_rate,
                    server.slowness,
                );
            }
        }
        balance.update(now, &zones);
    }

    /// Returns the rank up to which backend servers of a service are in the sample.
    fn sample_threshold(&self, service: &str, in_scope: impl Fn(&Listing) -> bool) -> u64 {
        let servers = self.servers.values();
        let open = servers.filter(|server| {
            server.listing.service == service && server.accepts_work() && in_scope(&server.listing)
        });
        let each = self.settings.fleet_sample / self.node_hashes.len().max(1) as f64;
        let fraction = each.max(self.settings.min_sample) / open.count().max(1) as f64;
        // The cast saturates for a fraction above 1.
        (fraction * u64::MAX as f64) as u64
    }

    /// Returns the backend server that all nodes of a zone prefer for a short shared prefix, and all
    /// nodes for a long one.
    pub(super) fn preferred_server(
        &self,
        query: &Query,
        scope: &Scope,
        allows: impl Fn(&Listing) -> bool,
    ) -> Option<&ServerId> {
        let prefix = query.work.shared_prefix()?;
        let is_local = query.work.shared_tokens() <= self.settings.zones.max_local_prefix;
        let may_cache = |listing: &Listing| {
            allows(listing) && (!is_local || scope.includes(&listing.zone, query.zone))
        };
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| self.is_eligible(server, query) && may_cache(&server.listing))
            .max_by_key(|(_, server)| rank(prefix, server.hash))
            .map(|(id, _)| id)
    }

    /// Whether a backend server has capacity for one more request of this node.
    fn has_capacity(&self, now: Instant, server: &Server) -> bool {
        self.obstacle(now, server).is_none()
    }

    /// Returns why a backend server has no capacity for one more request of this node, if it has none.
    pub(super) fn obstacle(&self, now: Instant, server: &Server) -> Option<Obstacle> {
        if !server.breaker.allows_request(now) {
            return Some(Obstacle::Quarantined);
        }
        if server.wait(now).is_some() || !server.has_resumed(now) {
            return Some(Obstacle::Paused);
        }
        if server.is_full(now) {
            return Some(Obstacle::Full);
        }
        let places = server
            .listing
            .slots
            .saturating_add(self.settings.max_queued);
        if server.load().requests >= places {
            return Some(Obstacle::Occupied);
        }
        let cold = now < server.cold_until;
        let window = self.settings.cold_window;
        let is_open = !cold || server.cold_limiter.admits(now, window, server.cold_quota);
        (!is_open).then_some(Obstacle::Cold)
    }

    fn is_eligible(&self, server: &Server, query: &Query) -> bool {
        let listing = &server.listing;
        listing.service == query.service
            && server.accepts_work()
            && !self.zones_out.contains(&listing.zone)
            && !query.tried.contains(&listing.id)
    }

    /// Returns the latency estimator of a service's engines.
    pub fn estimator(&self, service: &str) -> Estimator {
        let known = self.estimators.get(service).copied();
        known.unwrap_or_else(|| Estimator::new(&self.settings))
    }

    /// Counts a request as sent; returns the prompt tokens to process before its first event.
    pub fn start_request(&mut self, now: Instant, id: &str, query: &Query) -> Prefill {
        let Some(server) = self.servers.get_mut(id) else {
            return Prefill::default();
        };
        server.breaker.try_acquire(now);
        if now < server.cold_until {
            server.cold_limiter.record(now, self.settings.cold_window);
        }
        if let Some(limit) = &mut server.limit {
            limit.record_send(now);
        }
        server.own_load = server.own_load.plus(load_of(query));
        let weight = query.model.map_or(0.0, |(_, weight)| weight);
        let own = server.uncached_tokens(now, query, &self.settings) * weight;
        let ahead = server.load().pending_prefill;
        server.own_load.pending_prefill += own;
        server.record_parts(now, query, &self.settings);
        Prefill { own, ahead }
    }

    /// Records the time to a first event. Times of a cold backend server are ignored.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        listing: &Listing,
        prefill: Prefill,
        millis: f64,
    ) {
        let server = self.servers.get(&listing.id);
        if server.is_none_or(|server| now < server.cold_until) {
            return;
        }
        self.estimator_mut(&listing.service)
            .prefill
            .add(prefill.own + prefill.ahead, millis);
    }

    fn estimator_mut(&mut self, service: &str) -> &mut Estimator {
        let settings = &self.settings;
        let estimator = self.estimators.entry(service.to_owned());
        estimator.or_insert_with(|| Estimator::new(settings))
    }

    /// Records that an engine has processed a prompt, as its first event shows.
    pub fn finish_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.pending_prefill = (server.own_load.pending_prefill - tokens).max(0.0);
        }
    }

    /// Records that a backend server broke off an answer; returns whether this is the first time
    /// within the crash window. Further ones belong to the same crash.
    pub fn record_break(&mut self, now: Instant, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let before = server.last_break.replace(now);
        before.is_none_or(|at| now.saturating_duration_since(at) >= self.settings.crash_window)
    }

    /// Forgets the failures of backend servers that have failed since the given time, which were
    /// this node's own: it doesn't reach them.
    pub fn reset_failures(&mut self, since: Option<Instant>) {
        for server in self.servers.values_mut() {
            server.reset_failures(since);
        }
    }

    /// Returns the number of backend servers that accept new work.
    pub fn open_count(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.accepts_work()).count()
    }

    /// Chooses the backend server that a probe of this node's path connects to: one that hasn't failed, and
    /// as unlike those that have as there is, since a whole service or zone may be down.
    pub fn probe_target(&self, draw: u64, has_failed: impl Fn(&str) -> bool) -> Option<&Listing> {
        let failed = self.servers.values();
        let failed = failed.map(|server| &server.listing);
        let failed: Vec<_> = failed.filter(|listing| has_failed(&listing.id)).collect();
        let services: Set<_> = failed.iter().map(|listing| &listing.service).collect();
        let zones: Set<_> = failed.iter().map(|listing| &listing.zone).collect();
        let open = self.servers.values().filter(|server| server.accepts_work());
        let target = open.min_by_key(|server| {
            let listing = &server.listing;
            let likeness = u8::from(zones.contains(&listing.zone))
                + u8::from(services.contains(&listing.service));
            let failed = has_failed(&listing.id);
            (failed, likeness, rank(draw, server.hash))
        });
        target.map(|server| &server.listing)
    }

    /// Records that a backend server has sent something.
    pub fn record_activity(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.last_activity = Some(now);
        }
    }

    /// Whether a backend server has recently sent something in response to a request of this node.
    pub fn is_active(&self, now: Instant, id: &str) -> bool {
        let activity = self.servers.get(id).and_then(|server| server.last_activity);
        activity.is_some_and(|at| now.saturating_duration_since(at) < self.settings.active_time)
    }

    /// Records the latency of one stage of a request; returns its ratio to the baseline. If
    /// `reference` is set, the latency also updates the baseline. Latencies of a cold backend server
    /// are ignored.
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
            .capacities
            .get(service)
            .map_or(0.0, |capacity| capacity.event_tokens);
        let contention = match stage {
            Stage::EventInterval => self.estimator(service).contention(weight),
            Stage::FirstEvent | Stage::FullAnswer => 1.0,
        };
        if stage == Stage::EventInterval && tokens > 0.0 && reference {
            self.estimator_mut(service)
                .step
                .add(weight, millis / tokens);
        }
        let uncontended = millis / contention;
        let ratio = self
            .baselines
            .ratio(service, model, stage, uncontended, reference)?;
        // The time to the first event depends more on the prompt than on the engine.
        let server = self.servers.get_mut(&listing.id);
        if let (Stage::EventInterval | Stage::FullAnswer, Some(server)) = (stage, server) {
            server.record_latency(ratio.to_mean, &self.settings);
        }
        Some(ratio)
    }

    /// Records the end of a request and its outcome.
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

    /// Returns the contention of a service's engines at their mean load, over those that accept new
    /// work. It uses the assumed speeds rather than the learned ones: learned steps include prompts
    /// processed between them, which pass sooner than the concurrent answers.
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

    /// Returns the loads of this node plus those of the other nodes that `includes` accepts, by tag of
    /// the backend server.
    pub fn loads_with(&self, includes: impl Fn(&str) -> bool) -> BTreeMap<Tag, Load> {
        let mut loads: BTreeMap<Tag, Load> = self.own_loads().collect();
        let others = self.remote_loads.iter().filter(|(node, _)| includes(node));
        for (tag, load) in others.flat_map(|(_, others)| others) {
            let sum = loads.entry(*tag).or_default();
            *sum = sum.plus(*load);
        }
        loads
    }

    /// Returns the loads of this node, by tag of the backend server.
    pub fn own_loads(&self) -> impl Iterator<Item = (Tag, Load)> {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| server.own_load.requests > 0)
            .map(|(id, server)| (tag(id), server.own_load))
    }
}

/// Returns the draw that decides whether a request leaves its zone.
pub(super) fn zone_draw(query: &Query) -> f64 {
    rank(query.draw, ZONE_HASH) as f64 / u64::MAX as f64
}

/// Returns the load that a request adds to a backend server.
pub fn load_of(query: &Query) -> Load {
    Load {
        requests: 1,
        tokens: query.work.prompt_tokens + query.work.output_tokens,
        weight: query.model.map_or(0.0, |(_, weight)| weight),
        // Depends on the parts that the chosen server has cached.
        pending_prefill: 0.0,
    }
}
