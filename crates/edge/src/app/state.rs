//! A node's view of the system.

use super::{Assignment, Losses, Mirror, Notice, Outage, Table, Update};
use crate::follow::Role;
use crate::membership;
use contract::{Map, Set, stable_hash};
use limits::poison::Detector;
use limits::retry::{Allowance, Purpose, Shares, Window};
use limits::suspect::{self, Suspects};
use platform::Intent;
use platform::store::{Page, Row};
use route::cascade::{Answer, Cascade};
use route::config::Config;
use route::member::{Member, Members};
use route::pool::{self, Capacity, Load, Naming, Pool, Query, Refusal, Stage, Tag};
use route::reach::Reach;
use route::relay::{self, Relays};
use route::rollout::{self, Side, Spec, Status, Tally, Trial};
use route::server::Listing;
use route::session::Sessions;
use route::site::{Bounds, Site};
use route::{NodeName, Position, ServerId, ServiceName, Version, table};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_tungstenite::tungstenite::Message;

/// Largest fleet that the shares of the nodes are sized for, as a multiple of the nodes known at
/// start.
const FLEET_MARGIN: f64 = 1.7;
/// Share of the retry ratio that nodes use. A send reaches its backend server a little after it is
/// counted, and by then the site's window may no longer contain the first send of that request.
const RETRY_SHARE: f64 = 0.9;

/// Multiple of the median time above which a response counts as slow in a roll-out. Under load a
/// third of the old version's responses exceed it, and nearly all of a version that runs at half
/// the speed.
const SLOW_RATIO: f64 = 1.5;
/// Time for which a request that crashed backend servers is remembered.
const SUSPECT_MEMORY: Duration = Duration::from_secs(60);
/// Crashed backend servers after which no node forwards a request any more. A lost network path
/// looks the same as a crash, so two aren't enough.
const SUSPECT_CRASHES: usize = 3;

/// Time after which another node is asked for changes when one doesn't answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two calls of a fallback follower, multiplied by its rank after the followers,
/// which can't reach the store. With this pause the fallbacks of a fleet of seventy nodes call an
/// unreachable store fewer than thirty times a second, and a store that only a few nodes can reach
/// is found within seconds.
const FALLBACK_PAUSE: Duration = Duration::from_millis(300);
/// Hash key that ranks nodes as followers.
const FOLLOWERS_KEY: &str = "followers";

/// Logs that a row can't be used; the previous state stays in effect.
pub fn log_unreadable_row(row: &str, why: &impl std::fmt::Display) {
    log::warn!(event = 1720, row = row; "ignoring an unusable row: {why}");
}

/// A node's view of the system.
#[derive(Debug)]
pub struct State {
    /// Routes and API keys of the current configuration.
    pub routes: Arc<table::Table>,
    /// The backend servers.
    pub pool: Pool,
    /// The other nodes.
    pub members: Members,
    /// The links to other nodes.
    pub relays: Relays,
    /// Load on backend servers in the last report to this node's primary relay.
    pub reported_loads: BTreeMap<Tag, Load>,
    /// Roll-out counts in the last report to this node's primary relay, by service.
    pub reported_tallies: Map<ServiceName, Tally>,
    /// Evidence of this node's direct path to backend servers.
    pub reach: Reach,
    /// Whether the node is shutting down.
    pub stopping: bool,
    /// Whether the node accepts no more requests.
    pub draining: bool,
    /// Roll-outs that the operator has ordered, by service.
    pub trials: Map<ServiceName, Trial>,
    /// Roll-outs whose orders a restored store has lost and nobody has written again within the grace, by
    /// service. They go on if the same order is written later.
    pub(super) lost_trials: Map<ServiceName, Trial>,
    /// Versions that did not complete their roll-out, by service: they get no more requests.
    rejected: Map<ServiceName, Set<Version>>,
    /// Versions that sessions are assigned to.
    pub sessions: Sessions,
    /// Whether a roll-out has begun since sessions were last announced: other nodes need them only
    /// during a roll-out.
    announce_sessions: bool,
    /// Requests that crash the backend servers which run them.
    pub suspects: Suspects,
    /// Parts of prompts that crash the backend servers which begin to answer.
    pub poison: Detector,
    pub(super) losses: Losses,
    pub(super) pending_notices: Vec<Notice>,
    evacuated_zones: Set<String>,
    mirrors: [Mirror; 4],
    /// Time of the last update of each table.
    updated: [Option<Instant>; 4],
    /// Whether the list of backend servers has been read.
    listed: bool,
    /// The last rows sent to another node: the table, the position after which they were requested,
    /// the position up to which they are complete, and the encoded frame.
    pub last_rows: Option<((Table, Position, Position), Message)>,
    /// Time at which another node was last asked for changes of each table, while it hasn't
    /// answered.
    fetching: [Option<Instant>; 4],
    /// The last outage of the store.
    outage: Outage,
    /// Whether this node follows the store as a fallback for followers that can't reach it.
    fallback_active: bool,
    /// Backend servers whose entries expired during an outage, and until when they are kept.
    pub(super) expired: Vec<(ServerId, Instant)>,
    /// Rows of a restored store that may hold an older state, and until when they are withheld.
    pub(super) withheld: Vec<(Table, String, Instant)>,
    budgets: Map<ServiceName, Window>,
    /// Choice of the models that answer, by service.
    cascades: Map<ServiceName, Cascade>,
    /// Limits from the settings file.
    pub bounds: Bounds,
    /// Link addresses of a few nodes, used to join.
    pub seeds: Vec<SocketAddrV4>,
    pub(super) node: NodeName,
}

impl State {
    /// Creates the state of a node that has learned nothing yet.
    pub fn new(site: &Site) -> Self {
        let mut state = Self::empty(site);
        if site.first_start {
            // The tables are empty; all that is written from now on arrives as changes.
            for mirror in &mut state.mirrors {
                mirror.replace(Page::default());
            }
        }
        state
    }

    fn empty(site: &Site) -> Self {
        Self {
            routes: Arc::default(),
            pool: Pool::new(pool::Settings::default()),
            members: Members::default(),
            relays: Relays::new(relay::Settings::default()),
            reported_loads: BTreeMap::new(),
            reported_tallies: Map::default(),
            reach: Reach::default(),
            stopping: false,
            draining: false,
            trials: Map::default(),
            lost_trials: Map::default(),
            rejected: Map::default(),
            sessions: Sessions::default(),
            announce_sessions: false,
            suspects: Suspects::new(suspect::Settings {
                retention: SUSPECT_MEMORY,
                crash_threshold: SUSPECT_CRASHES,
                ..suspect::Settings::default()
            }),
            losses: Losses::default(),
            poison: Detector::default(),
            pending_notices: Vec::new(),
            evacuated_zones: Set::default(),
            mirrors: Default::default(),
            updated: Default::default(),
            listed: false,
            last_rows: None,
            fetching: Default::default(),
            outage: Outage::default(),
            fallback_active: false,
            expired: Vec::new(),
            withheld: Vec::new(),
            budgets: Map::default(),
            cascades: Map::default(),
            bounds: site.bounds.clone(),
            seeds: site.seeds.clone(),
            node: site.node.clone(),
        }
    }

    /// Applies the settings that may change while the node runs.
    pub fn reload(&mut self, site: Site) {
        self.bounds = site.bounds;
        self.seeds = site.seeds;
        self.update_shares();
    }

    /// Whether the node can serve requests.
    pub fn ready(&self) -> bool {
        self.initialized() && !self.stopping
    }

    /// Whether the node has a configuration and the list of backend servers.
    fn initialized(&self) -> bool {
        self.configured() && self.listed
    }

    /// Whether the node has yet to read the tables that it needs to serve requests.
    pub fn awaits_tables(&self) -> bool {
        !self.initialized() && !self.draining
    }

    /// Whether the node has a configuration.
    pub fn configured(&self) -> bool {
        self.routes.config().revision > 0
    }

    /// The replica of a table.
    pub fn mirror(&self, table: Table) -> &Mirror {
        &self.mirrors[table as usize]
    }

    /// Applies changes of a table.
    pub fn update(&mut self, now: Instant, table: Table, page: Page) {
        let changes = self.mirrors[table as usize].update(page);
        self.listed |= table == Table::Servers && !changes.is_empty();
        self.apply(now, table, changes);
    }

    /// Applies rows of a table from another node.
    pub fn merge(&mut self, now: Instant, table: Table, update: Update) {
        self.fetching[table as usize] = None;
        match update.full {
            true => self.replace(now, table, update.page),
            false => self.update(now, table, update.page),
        }
    }

    /// Starts a fetch of a table from a node whose latest change is at `newest`. Returns the
    /// position after which to fetch; none when nothing is missing or a fetch is already running,
    /// since only one node is asked at a time.
    pub fn start_fetch(
        &mut self,
        now: Instant,
        table: Table,
        newest: Position,
    ) -> Option<Position> {
        let position = self.mirror(table).position().unwrap_or_default();
        let started = self.fetching[table as usize];
        let running = started.is_some_and(|at| now.saturating_duration_since(at) < FETCH_TIMEOUT);
        if newest <= position || running {
            return None;
        }
        self.fetching[table as usize] = Some(now);
        Some(position)
    }

    /// Whether the store names its era, as far as this node knows. Changes without an era can't be compared
    /// with its own then, so it learns nothing from nodes of earlier versions, which name none.
    fn needs_era(&self) -> bool {
        let mut positions = self.mirrors.iter().filter_map(Mirror::position);
        positions.any(|position| position.era > 0)
    }

    /// This node's role in following a table.
    pub fn follow_role(&self, now: Instant, table: Table) -> Role {
        let rank = self.rank(now);
        if self.mirror(table).position().is_none() || rank < table.followers() {
            return Role::Follower;
        }
        let weight = self.weight(&self.node);
        let following = self.members.store_followers(now, self.needs_era());
        let mut following = following.peekable();
        let followed = following.peek().is_some();
        if following.any(|node| self.weight(node) > weight) {
            return Role::Learner;
        }
        if self.fallback_active {
            return Role::Follower;
        }
        match followed {
            true => Role::Learner,
            false => {
                let turn = (rank - table.followers()) as u32 + 1;
                Role::Fallback(FALLBACK_PAUSE * turn * table.fallback_pauses())
            }
        }
    }

    /// Number of nodes ranked before this one as followers.
    fn rank(&self, now: Instant) -> usize {
        let own = self.weight(&self.node);
        let is_before = |member: &&Member| self.weight(&member.node) > own;
        match self.needs_era() {
            true => self.members.naming_era(now).filter(is_before).count(),
            false => self.members.alive(now).filter(is_before).count(),
        }
    }

    /// Rank weight of a node as a follower; all nodes compute the same.
    fn weight(&self, node: &str) -> u64 {
        stable_hash([FOLLOWERS_KEY, node])
    }

    /// Whether this node follows the table of backend servers and can reach the store.
    pub fn follows_store(&self, now: Instant) -> bool {
        self.store_reachable(now) && self.follow_role(now, Table::Servers) == Role::Follower
    }

    /// Whether no other node that follows the store is ranked before this one.
    pub fn is_lead_follower(&self, now: Instant) -> bool {
        let own = self.weight(&self.node);
        let mut following = self.members.store_followers(now, self.needs_era());
        following.all(|node| self.weight(node) < own)
    }

    /// Whether this node has read the store and no call failed recently.
    pub fn store_reachable(&self, now: Instant) -> bool {
        !self.outage.is_recent(now) && self.mirror(Table::Intents).position().is_some()
    }

    /// Applies a full table.
    pub fn replace(&mut self, now: Instant, table: Table, page: Page) {
        let before = self.mirror(table).position().unwrap_or_default();
        let changes = self.mirrors[table as usize].replace(page);
        let after = self.mirror(table).position().unwrap_or_default();
        if !before.is_continued_in(after.era) {
            log::warn!(event = 1782, table = table.name(), before = before.era, era = after.era,
                newer = changes.newer.len(), doubtful = changes.doubtful.len();
                "the store was restored from an older copy");
            self.extend_grace(now, table);
        }
        self.apply(now, table, changes.newer);
        self.apply_doubtful(now, table, changes.doubtful);
        self.listed |= table == Table::Servers;
    }

    pub(super) fn apply(&mut self, now: Instant, table: Table, changes: Vec<Row>) {
        self.updated[table as usize] = Some(now);
        for row in &changes {
            self.withheld
                .retain(|(other, key, _)| (*other, key) != (table, &row.key));
            match table {
                Table::Intents => self.apply_intent(now, row),
                Table::Servers => self.apply_server(now, row),
                Table::Members => self.apply_member(row),
                Table::Status => (),
            }
        }
        if table == Table::Intents && !changes.is_empty() {
            self.pool.set_zones_out(now, self.evacuated_zones.clone());
        }
        if table == Table::Status && !changes.is_empty() {
            self.apply_statuses();
        }
        if table == Table::Members {
            self.update_shares();
        }
    }

    fn apply_intent(&mut self, now: Instant, row: &Row) {
        match (platform::parse_key(&row.key), &row.value) {
            (Intent::Config, Some(value)) => self.apply_config(value),
            (Intent::Rollout(_), Some(value)) if !row.removed => {
                match platform::parse_rollout(value) {
                    Ok(spec) => self.apply_rollout(now, spec),
                    Err(error) => log_unreadable_row(&row.key, &error),
                }
            }
            (Intent::Rollout(service), _) => {
                // A version that was rolled back stays rejected: a restored store may have lost its
                // order, and its servers may still be there.
                if let Some(trial) = self.trials.remove(service)
                    && trial.outcome() == Status::RolledBack
                {
                    let rejected = self.rejected.entry(trial.spec.service).or_default();
                    rejected.insert(trial.spec.version);
                }
            }
            (Intent::Evacuation(zone), _) => {
                let out = !row.removed;
                log::info!(event = 1722, zone = zone, out = out; "availability zone evacuated or restored");
                match out {
                    true => self.evacuated_zones.insert(zone.to_owned()),
                    false => self.evacuated_zones.remove(zone),
                };
            }
            (Intent::Config | Intent::Other, _) => {
                log_unreadable_row(&row.key, &"unknown key, or no value");
            }
        }
    }

    fn apply_rollout(&mut self, now: Instant, spec: Spec) {
        if let Some(lost) = self.lost_trials.remove(&spec.service) {
            self.trials.entry(spec.service.clone()).or_insert(lost);
        }
        let known = self.trials.get(&spec.service);
        if known.is_some_and(|trial| trial.spec == spec) {
            return;
        }
        log::info!(event = 1721, service = spec.service.as_str(), to = spec.version.as_str(); "roll-out ordered by the operator");
        let settings = rollout::Settings {
            expose_share: self.bounds.expose_share,
            expose_extra: self.bounds.expose_extra,
            ..rollout::Settings::default()
        };
        let rejected = self.rejected.entry(spec.service.clone()).or_default();
        if let Some(before) = self.trials.remove(&spec.service)
            && before.outcome() != Status::Completed
        {
            rejected.insert(before.spec.version);
        }
        rejected.remove(&spec.version);
        let trial = Trial::new(spec, settings, now);
        self.trials.insert(trial.spec.service.clone(), trial);
        self.announce_sessions = true;
        self.apply_statuses();
    }

    /// Whether a roll-out is in progress: sessions then stay on their versions, whichever node they
    /// use.
    fn rollout_in_progress(&self) -> bool {
        let mut trials = self.trials.values();
        trials.any(|trial| trial.status() == Status::Running)
    }

    /// Takes the sessions to announce to all nodes because a roll-out has begun.
    pub fn take_sessions_to_announce(&mut self, now: Instant) -> Vec<Assignment> {
        match std::mem::take(&mut self.announce_sessions) && self.rollout_in_progress() {
            true => self.sessions.own(now),
            false => Vec::new(),
        }
    }

    /// Sessions to send to a newly linked node: all that are known, or only those assigned here.
    pub fn sessions_for_peer(&self, now: Instant, all: bool) -> Vec<Assignment> {
        match (self.rollout_in_progress(), all) {
            (false, _) => Vec::new(),
            (true, true) => self.sessions.all(now),
            (true, false) => self.sessions.own(now),
        }
    }

    /// Applies the statuses of roll-outs from the status table.
    fn apply_statuses(&mut self) {
        for (service, trial) in &mut self.trials {
            let row = self.mirrors[Table::Status as usize].get(&platform::status_key(service));
            let value = row.and_then(|row| row.value.as_deref());
            match value.map(platform::parse_status) {
                Some(Ok((version, status))) if version == trial.spec.version => {
                    if trial.finish(status) {
                        log::warn!(event = 1752, service = service.as_str(), to = version.as_str(),
                            outcome = format!("{status:?}").as_str(); "the store has another status of the roll-out than this node");
                    }
                }
                Some(Err(error)) => log_unreadable_row(service, &error),
                Some(Ok(_)) | None => (),
            }
        }
    }

    fn apply_config(&mut self, value: &[u8]) {
        let config = match platform::parse_config(value) {
            Ok(config) => config,
            Err(error) => return log_unreadable_row("config", &error),
        };
        if config.revision <= self.routes.config().revision {
            return;
        }
        log::info!(event = 1723, revision = config.revision, routes = config.routes.len(); "applied a new configuration");
        self.routes = Arc::new(table::Table::new(config));
        self.update_shares();
    }

    fn apply_server(&mut self, now: Instant, row: &Row) {
        if row.removed {
            return self.apply_removed(now, &row.key);
        }
        let decoded = platform::parse_listing(&row.key, row.value.as_deref().unwrap_or_default());
        match decoded {
            Ok(listing) => self.apply_listing(now, listing),
            Err(error) => log_unreadable_row(&row.key, &error),
        }
    }

    fn apply_listing(&mut self, now: Instant, listing: Listing) {
        log::info!(event = 1724, server = listing.id.as_str(), service = listing.service.as_str(),
            zone = listing.zone.as_str(), version = listing.version.as_str(),
            cold_ms = listing.cold_remaining.as_millis() as u64, state = format!("{:?}", listing.state).as_str();
            "backend server listed");
        self.expired.retain(|(id, _)| *id != listing.id);
        let known = self.pool.servers().get(&listing.id);
        if known.is_some_and(|known| known.listing.started_ms != listing.started_ms) {
            self.record_server_end(now, &listing.id);
        }
        self.pool.upsert(now, listing);
    }

    fn apply_removed(&mut self, now: Instant, id: &str) {
        self.record_server_end(now, id);
        match self.outage.grace_end().filter(|until| now < *until) {
            Some(until) => self.expired.push((id.to_owned(), until)),
            None => self.remove_server(id),
        }
    }

    fn remove_server(&mut self, id: &str) {
        log::info!(event = 1725, server = id; "backend server removed");
        self.pool.remove(id);
    }

    fn apply_member(&mut self, row: &Row) {
        let member = membership::decode(row);
        if let Some(member) = member.filter(|member| member.node != self.node) {
            self.members.add(member);
        }
    }

    /// Time since the last update of the list of backend servers.
    pub fn list_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.updated[Table::Servers as usize].unwrap_or(now))
    }

    /// Makes this node a follower as a fallback: the store answered it, but not the followers.
    pub fn become_fallback(&mut self) {
        self.fallback_active = true;
    }

    /// Records that the store didn't answer a call.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.outage.record_failure(now);
        self.fallback_active = false;
    }

    /// Records that the store answered a call.
    pub fn record_store_answer(&mut self, started: Instant, now: Instant) {
        self.outage.record_answer(started, now);
    }

    /// Time after which a caller may retry that nothing can serve now.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.outage.retry_after(now, !self.configured())
    }

    /// Removes backend servers whose entries expired and didn't reappear, and the load reported by
    /// nodes that are gone.
    pub fn sweep(&mut self, now: Instant) {
        for node in self.members.take_expired(now) {
            self.pool.set_remote_loads(&node, Map::default());
        }
        let due: Vec<_> = self
            .expired
            .extract_if(.., |(_, until)| now >= *until)
            .collect();
        for (id, _) in due {
            self.remove_server(&id);
        }
        self.apply_withheld(now);
        self.poison.sweep(now);
    }

    /// Records what an answer, to this node or another one, says of a backend server's limit. Returns
    /// whether the other nodes are to be told.
    pub fn record_naming(&mut self, now: Instant, naming: &Naming) -> bool {
        let limit = |pool: &Pool| {
            let server = pool.servers().get(&naming.server)?;
            server.limit().map(|limit| limit.rate())
        };
        let before = limit(&self.pool);
        let is_news = self.pool.record_naming(now, naming);
        let after = limit(&self.pool);
        if before != after {
            log::info!(event = 1760, server = naming.server.as_str(), before = before.unwrap_or(-1.0), rate = after.unwrap_or(-1.0);
                "limit of a backend server has changed");
        }
        is_news
    }

    /// Computes this node's share of what all nodes share: retry budgets, the capacity of cold
    /// backend servers and the limits that they name. Until the number of nodes is known, its share
    /// of the first two is zero.
    fn update_shares(&mut self) {
        let own = std::iter::once(self.node.clone());
        let others = self.members.all().map(|member| member.node.clone());
        let others = others.filter(|node| *node != self.node);
        let names: Vec<_> = own.chain(others).collect();
        let share = match self.mirror(Table::Members).position() {
            Some(_) => 1.0 / (names.len() as f64 * FLEET_MARGIN),
            None => 0.0,
        };
        let allowance = Allowance {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_ratio * RETRY_SHARE,
            extra: self.bounds.retry_extra * share,
        };
        let config: &Config = self.routes.config();
        let mut capacities = Map::default();
        for (name, service) in &config.services {
            let rate = match share > 0.0 {
                true => service.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra,
                false => 0.0,
            };
            let engine = service.engine.as_ref();
            let capacity = Capacity {
                cold_rate: (service.cold_rate > 0.0).then_some(rate),
                cold_duration: service.cold_duration,
                memory_tokens: engine.map_or(0.0, |engine| engine.memory_tokens as f64),
                event_tokens: engine.map_or(0.0, |engine| f64::from(engine.event_tokens)),
            };
            capacities.insert(name.clone(), capacity);
            self.cascades.entry(name.clone()).or_default();
            self.budgets
                .entry(name.clone())
                .or_default()
                .set_allowance(allowance);
        }
        self.pool.set_capacities(Instant::now(), capacities, &names);
    }

    /// Chooses a backend server for a request.
    pub fn pick(
        &mut self,
        now: Instant,
        query: &Query,
        key: &str,
        session: Option<&str>,
    ) -> Result<Listing, Refusal> {
        let scope = self.pool.scope(now, query);
        let rejected = self.rejected.get(query.service);
        let takes = |listing: &Listing| {
            !rejected.is_some_and(|versions| versions.contains(&listing.version))
        };
        let Some(trial) = self.trials.get(query.service) else {
            return self.pool.pick_in(now, query, &scope, takes);
        };
        let known = session.and_then(|session| self.sessions.version(now, session));
        let known = known.map(|version| trial.side_of(version));
        let draw = stable_hash([trial.spec.version.as_str(), session.unwrap_or(key)]);
        let side = trial.choose_side(now, draw as f64 / u64::MAX as f64, known);
        let on_side = |listing: &Listing| trial.side_of(&listing.version) == side && takes(listing);
        match self.pool.pick_in(now, query, &scope, on_side) {
            // Requests of a version without a backend server go to the other version, unless the
            // new version has been rolled back.
            Err(Refusal::NoServer) if trial.status() != Status::RolledBack => {
                self.pool.pick_in(now, query, &scope, takes)
            }
            picked => picked,
        }
    }

    /// Explains where a request would go now. Versions that a roll-out holds back are left out as for a
    /// request without a session; shares of a roll-out in progress aren't drawn.
    pub fn explain(&self, now: Instant, query: &Query) -> pool::Explanation {
        let rejected = self.rejected.get(query.service);
        self.pool.explain(now, query, |listing| {
            !rejected.is_some_and(|versions| versions.contains(&listing.version))
        })
    }

    /// Counts a request as sent to a version. Returns whether the session's assignment must be
    /// announced to the other nodes.
    pub fn record_send(&mut self, now: Instant, listing: &Listing, session: Option<&str>) -> bool {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.record_sent(trial.side_of(&listing.version));
        }
        let changed =
            session.is_some_and(|session| self.sessions.record_own(now, session, &listing.version));
        changed && self.rollout_in_progress()
    }

    /// Records the duration of a stage of a request.
    pub fn record_time(
        &mut self,
        now: Instant,
        listing: &Listing,
        model: &str,
        stage: Stage,
        millis: f64,
    ) {
        let trial = self.trials.get_mut(&listing.service);
        let in_trial = trial.as_ref().is_some_and(|trial| {
            trial.status() != Status::Completed && trial.side_of(&listing.version) == Side::New
        });
        let ratio = self
            .pool
            .record_latency(now, listing, model, stage, millis, !in_trial);
        // The time to the first event depends on an engine's cache, and a new engine's cache is
        // empty.
        if let (Stage::EventInterval | Stage::FullAnswer, Some(trial), Some(ratio)) =
            (stage, trial, ratio)
        {
            trial.record_latency(
                trial.side_of(&listing.version),
                ratio.to_median > SLOW_RATIO,
            );
        }
    }

    /// Records that a backend server sent nothing for too long. It counts like a slow response, not
    /// as a bad one, since under load any version may fall silent.
    pub fn record_silence(&mut self, listing: &Listing) {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.record_latency(trial.side_of(&listing.version), true);
        }
    }

    /// Records a response of a version.
    pub fn record_answer(&mut self, listing: &Listing, bad: bool) {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.record_answer(trial.side_of(&listing.version), bad);
        }
    }

    /// Records that a larger model answered a request after a smaller one.
    pub fn record_escalation(&mut self, service: &str, smaller: &Answer, larger: &Answer) {
        if let Some(cascade) = self.cascades.get_mut(service) {
            cascade.record(smaller, larger);
        }
    }

    /// Chooses the model to ask after an answer.
    pub fn cascade(&self, service: &str) -> Option<&Cascade> {
        self.cascades.get(service)
    }

    /// Counts the first send of a request.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.count(now);
        }
    }

    /// Takes a further send of a request from the budget; returns whether the part of the budget for
    /// its purpose allowed it.
    pub fn take_retry(&mut self, now: Instant, service: &str, purpose: Purpose) -> bool {
        let share = Shares::default().of(purpose);
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.withdraw(now, share))
    }

    /// Returns a further send to the budget that no backend server has received.
    pub fn return_retry(&mut self, service: &str) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.restore();
        }
    }
}
