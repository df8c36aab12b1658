//! What a node believes.

use super::{Update, Crash, Mirror, Outage, Assignment, Table};
use crate::follow::Role;
use crate::membership;
use contract::{Map, Set, stable_hash};
use limits::retry::{Allowance, Window};
use limits::suspect::{self, Fingerprint, Suspects};
use platform::Intent;
use platform::store::{Page, Row};
use route::config::Config;
use route::member::Members;
use route::pool::{self, Bearing, Load, Pool, Query, Refusal, Stage, Tag};
use route::relay::{self, Relays};
use route::rollout::{self, Order, Outcome, Side, Tally, Trial};
use route::server::Listing;
use route::session::Sessions;
use route::site::{Bounds, Site};
use route::{NodeName, Position, ServerId, ServiceName, Version, table};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_tungstenite::tungstenite::Message;

/// Largest fleet that the shares of nodes are cut for, in times of the nodes known at start.
const FLEET_MARGIN: f64 = 1.7;
/// Role of the retry ratio that nodes spend: a send reaches its backend server a little after it is
/// counted, and the site's window may lack its first one then.
const RETRY_PART: f64 = 0.9;
/// Role of the budget up to which a request is sent again that has an answer already: the rest is for
/// requests without one.
const SPARE_PART: f64 = 0.8;

/// Multiple of the median time above which an answer counts as slow in a roll-out. Under load a
/// third of the old version's answers are beyond it, nearly all of a version of half the speed.
const SLOWER: f64 = 1.5;
/// Time for which a request that ended backend servers is remembered.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Backend servers that one request may end before no node sends it on. A lost network path looks
/// alike, so that two aren't enough.
const SUSPECT_CRASHES: usize = 3;

/// Time after which another node is asked in place of one that doesn't answer.
const FETCH_TIME: Duration = Duration::from_millis(400);
/// Pause of a node that stands in for followers which don't hear the store, for each place that it
/// comes after them: the stand-ins of a fleet of seventy ask a lost store less than thirty times a
/// second, and one that serves a few nodes only is found within some seconds.
const FALLBACK_PAUSE: Duration = Duration::from_millis(300);
/// Key by which nodes are ranked as followers.
const FOLLOWERS_KEY: &str = "followers";

/// Time in which the end of a backend server explains a lost request: three missed heartbeats of
/// the usual length, and a little.
const LOST_TIME: Duration = Duration::from_secs(6);
/// Lost requests that are remembered for it.
const MAX_LOST: usize = 512;

/// Notes that a row can't be read; what was known before stays.
pub fn log_unreadable_row(row: &str, why: &impl std::fmt::Display) {
    log::warn!(event = 1720, row = row; "row can't be used: {why}");
}

/// A request that lost its backend server.
#[derive(Debug)]
struct Loss {
    fingerprint: Fingerprint,
    server: ServerId,
    at: Instant,
}

/// What a node believes.
#[derive(Debug)]
pub struct State {
    /// Routes and keys in force.
    pub routes: Arc<table::Table>,
    /// The backend servers.
    pub pool: Pool,
    /// The other nodes.
    pub members: Members,
    /// The links to some of them.
    pub relays: Relays,
    /// Work on backend servers that the relay of this node was last told of.
    pub reported_loads: BTreeMap<Tag, Load>,
    /// Evidence of roll-outs that it was last told of, by service.
    pub reported_tallies: Map<ServiceName, Tally>,
    /// Whether the node is to stop.
    pub stopping: bool,
    /// Whether the node takes no request any more.
    pub finishing: bool,
    /// Roll-outs that the operator asks for, by service.
    pub trials: Map<ServiceName, Trial>,
    /// Versions that weren't taken over, by service: they get nothing more.
    rejected: Map<ServiceName, Set<Version>>,
    /// Versions that sessions are on.
    pub sessions: Sessions,
    /// Whether a roll-out has begun since sessions were last told: only then other nodes need them.
    announce_sessions: bool,
    /// Requests that end the backend servers which run them.
    pub suspects: Suspects,
    losses: Vec<Loss>,
    crashes: Vec<Crash>,
    evacuated_zones: Set<String>,
    mirrors: [Mirror; 4],
    /// When each table was last heard of.
    heard: [Option<Instant>; 4],
    /// Whether the list of backend servers was read.
    listed: bool,
    /// The last rows told to another node: the table, the position after which it asked, the one up
    /// to which they are complete, and the frame.
    pub last_rows: Option<((Table, Position, Position), Message)>,
    /// When another node was asked for changes of each table.
    fetching: [Option<Instant>; 4],
    /// The last outage of the store.
    outage: Outage,
    /// Whether this node follows in the place of those that don't hear the store.
    fallback_active: bool,
    expired: Vec<(ServerId, Instant)>,
    budgets: Map<ServiceName, Window>,
    /// Bounds of the site.
    pub bounds: Bounds,
    /// Links of a few nodes to begin with.
    pub seeds: Vec<SocketAddrV4>,
    node: NodeName,
}

impl State {
    /// Knows nothing yet.
    pub fn new(site: &Site) -> Self {
        let mut state = Self::unread(site);
        if site.first_start {
            // All that the operator and the backend servers write comes as changes.
            for mirror in &mut state.mirrors {
                mirror.replace(Page::default());
            }
        }
        state
    }

    fn unread(site: &Site) -> Self {
        Self {
            routes: Arc::default(),
            pool: Pool::new(pool::Settings::default()),
            members: Members::default(),
            relays: Relays::new(relay::Settings::default()),
            reported_loads: BTreeMap::new(),
            reported_tallies: Map::default(),
            stopping: false,
            finishing: false,
            trials: Map::default(),
            rejected: Map::default(),
            sessions: Sessions::default(),
            announce_sessions: false,
            suspects: Suspects::new(suspect::Settings {
                memory: SUSPECT_TIME,
                crashes: SUSPECT_CRASHES,
                ..suspect::Settings::default()
            }),
            losses: Vec::new(),
            crashes: Vec::new(),
            evacuated_zones: Set::default(),
            mirrors: Default::default(),
            heard: Default::default(),
            listed: false,
            last_rows: None,
            fetching: Default::default(),
            outage: Outage::default(),
            fallback_active: false,
            expired: Vec::new(),
            budgets: Map::default(),
            bounds: site.bounds.clone(),
            seeds: site.seeds.clone(),
            node: site.node.clone(),
        }
    }

    /// Takes over what may change in the settings file while the node runs.
    pub fn reload(&mut self, site: Site) {
        self.bounds = site.bounds;
        self.seeds = site.seeds;
        self.share();
    }

    /// Whether the node can serve requests.
    pub fn ready(&self) -> bool {
        self.initialized() && !self.stopping
    }

    /// Whether the node knows a configuration and the backend servers.
    fn initialized(&self) -> bool {
        self.configured() && self.listed
    }

    /// Whether the node has yet to learn what it needs to serve requests.
    pub fn awaits_tables(&self) -> bool {
        !self.initialized() && !self.finishing
    }

    /// Whether the node knows a configuration.
    pub fn configured(&self) -> bool {
        self.routes.config().revision > 0
    }

    /// The copy of a table.
    pub fn mirror(&self, table: Table) -> &Mirror {
        &self.mirrors[table as usize]
    }

    /// Takes in changes of a table.
    pub fn update(&mut self, now: Instant, table: Table, page: Page) {
        let news = self.mirrors[table as usize].update(page);
        self.listed |= table == Table::Servers && !news.is_empty();
        self.apply(now, table, news);
    }

    /// Takes in what another node tells of a table.
    pub fn merge(&mut self, now: Instant, table: Table, update: Update) {
        self.fetching[table as usize] = None;
        match update.full {
            true => self.replace(now, table, update.page),
            false => self.update(now, table, update.page),
        }
    }

    /// Whether another node that knows of this change is to be asked for it; the position up to
    /// which this one is complete. Only one node is asked at a time.
    pub fn start_fetch(&mut self, now: Instant, table: Table, newest: Position) -> Option<Position> {
        let position = self.mirror(table).position().unwrap_or(0);
        let asked = self.fetching[table as usize];
        let waiting = asked.is_some_and(|at| now.saturating_duration_since(at) < FETCH_TIME);
        if newest <= position || waiting {
            return None;
        }
        self.fetching[table as usize] = Some(now);
        Some(position)
    }

    /// How this node takes part in following a table.
    pub fn follow_role(&self, now: Instant, table: Table) -> Role {
        let rank = self.rank(now);
        if self.mirror(table).position().is_none() || rank < table.followers() {
            return Role::Follower;
        }
        let weight = self.weight(&self.node);
        let mut following = self.members.following(now).peekable();
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

    /// Nodes that come before this one when followers are chosen.
    fn rank(&self, now: Instant) -> usize {
        let own = self.weight(&self.node);
        let nodes = self.members.alive(now);
        nodes
            .filter(|member| self.weight(&member.node) > own)
            .count()
    }

    /// Weight of a node when followers are chosen: the same on all nodes.
    fn weight(&self, node: &str) -> u64 {
        stable_hash([FOLLOWERS_KEY, node])
    }

    /// Whether this node follows the servers' table, and the store answers it.
    pub fn follows(&self, now: Instant) -> bool {
        self.store_reachable(now) && self.follow_role(now, Table::Servers) == Role::Follower
    }

    /// Whether the store has answered this node of late.
    pub fn store_reachable(&self, now: Instant) -> bool {
        !self.outage.is_recent(now) && self.mirror(Table::Intents).position().is_some()
    }

    /// Takes in a whole table.
    pub fn replace(&mut self, now: Instant, table: Table, page: Page) {
        let news = self.mirrors[table as usize].replace(page);
        self.apply(now, table, news);
        self.listed |= table == Table::Servers;
    }

    fn apply(&mut self, now: Instant, table: Table, news: Vec<Row>) {
        self.heard[table as usize] = Some(now);
        for row in &news {
            match table {
                Table::Intents => self.apply_intent(now, row),
                Table::Servers => self.apply_server(now, row),
                Table::Members => self.apply_member(row),
                Table::Status => (),
            }
        }
        if table == Table::Intents && !news.is_empty() {
            self.pool.set_zones_out(now, self.evacuated_zones.clone());
        }
        if table == Table::Status && !news.is_empty() {
            self.apply_outcomes();
        }
        if table == Table::Members {
            self.share();
        }
    }

    fn apply_intent(&mut self, now: Instant, row: &Row) {
        match (platform::parse_key(&row.key), &row.value) {
            (Intent::Config, Some(value)) => self.apply_config(value),
            (Intent::Rollout(_), Some(value)) if !row.removed => match platform::parse_rollout(value) {
                Ok(order) => self.apply_order(now, order),
                Err(error) => log_unreadable_row(&row.key, &error),
            },
            (Intent::Rollout(service), _) => {
                self.trials.remove(service);
            }
            (Intent::Evacuation(zone), _) => {
                let out = !row.removed;
                log::info!(event = 1722, zone = zone, out = out; "availability zone changed");
                match out {
                    true => self.evacuated_zones.insert(zone.to_owned()),
                    false => self.evacuated_zones.remove(zone),
                };
            }
            (Intent::Config | Intent::Other, _) => {
                log_unreadable_row(&row.key, &"row of no known meaning");
            }
        }
    }

    fn apply_order(&mut self, now: Instant, order: Order) {
        let known = self.trials.get(&order.service);
        if known.is_some_and(|trial| trial.order == order) {
            return;
        }
        log::info!(event = 1721, service = order.service.as_str(), to = order.to.as_str(); "roll-out ordered");
        let settings = rollout::Settings {
            expose_share: self.bounds.expose_share,
            expose_extra: self.bounds.expose_extra,
            ..rollout::Settings::default()
        };
        let rejected = self.rejected.entry(order.service.clone()).or_default();
        if let Some(before) = self.trials.remove(&order.service)
            && before.outcome() != Outcome::Completed
        {
            rejected.insert(before.order.to);
        }
        rejected.remove(&order.to);
        let trial = Trial::new(order, settings, now);
        self.trials.insert(trial.order.service.clone(), trial);
        self.announce_sessions = true;
        self.apply_outcomes();
    }

    /// Whether a roll-out is under way: sessions stay on their versions, whichever node they go to.
    fn on_trial(&self) -> bool {
        let mut trials = self.trials.values();
        trials.any(|trial| trial.outcome() == Outcome::Running)
    }

    /// Sessions that all nodes are to hear of, since a roll-out has begun.
    pub fn take_sessions_to_announce(&mut self, now: Instant) -> Vec<Assignment> {
        match std::mem::take(&mut self.announce_sessions) && self.on_trial() {
            true => self.sessions.own(now),
            false => Vec::new(),
        }
    }

    /// Sessions that a node is to hear of which begins to hear from this one: all that are known, or
    /// those that were placed here.
    pub fn sessions_for_peer(&self, now: Instant, all: bool) -> Vec<Assignment> {
        match (self.on_trial(), all) {
            (false, _) => Vec::new(),
            (true, true) => self.sessions.all(now),
            (true, false) => self.sessions.own(now),
        }
    }

    /// Takes over how roll-outs ended, as it is written down for the operator.
    fn apply_outcomes(&mut self) {
        for (service, trial) in &mut self.trials {
            let row = self.mirrors[Table::Status as usize].get(&platform::status_key(service));
            let value = row.and_then(|row| row.value.as_deref());
            match value.map(platform::parse_status) {
                Some(Ok((to, outcome))) if to == trial.order.to => trial.end(outcome),
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
        log::info!(event = 1723, revision = config.revision, routes = config.routes.len(); "configuration in force");
        self.routes = Arc::new(table::Table::new(config));
        self.share();
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
            cold_ms = listing.cold.as_millis() as u64, state = format!("{:?}", listing.state).as_str();
            "backend server listed");
        self.expired.retain(|(id, _)| *id != listing.id);
        let known = self.pool.servers().get(&listing.id);
        if known.is_some_and(|known| known.listing.born != listing.born) {
            self.record_server_end(now, &listing.id);
        }
        self.pool.list(now, listing);
    }

    fn apply_removed(&mut self, now: Instant, id: &str) {
        self.record_server_end(now, id);
        match self.outage.grace_end().filter(|until| now < *until) {
            Some(until) => self.expired.push((id.to_owned(), until)),
            None => self.forget(id),
        }
    }

    fn forget(&mut self, id: &str) {
        log::info!(event = 1725, server = id; "backend server gone");
        self.pool.remove(id);
    }

    fn apply_member(&mut self, row: &Row) {
        let member = membership::decode(row);
        if let Some(member) = member.filter(|member| member.node != self.node) {
            self.members.add(member);
        }
    }

    /// Time since the list of backend servers was last heard of.
    pub fn list_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard[Table::Servers as usize].unwrap_or(now))
    }

    /// Takes in that the store answered a node that asked in the place of the followers.
    pub fn become_fallback(&mut self) {
        self.fallback_active = true;
    }

    /// Takes in that the store doesn't answer.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.outage.record_failure(now);
        self.fallback_active = false;
    }

    /// Takes in that the store has answered.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.outage.record_answer(now);
    }

    /// Time after which a caller may come back that nothing can serve now.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.outage.retry_after(now, !self.configured())
    }

    /// Forgets backend servers whose entries lapsed and didn't come back, and the work of nodes that
    /// are gone.
    pub fn sweep(&mut self, now: Instant) {
        for node in self.members.take_silent(now) {
            self.pool.set_others(&node, Map::default());
        }
        let over: Vec<_> = self
            .expired
            .extract_if(.., |(_, until)| now >= *until)
            .collect();
        for (id, _) in over {
            self.forget(&id);
        }
    }

    /// Cuts what all nodes share into this node's part. Until it knows how many they are, it has none.
    fn share(&mut self) {
        let own = std::iter::once(self.node.clone());
        let others = self.members.all().map(|member| member.node.clone());
        let others = others.filter(|node| *node != self.node);
        let names: Vec<_> = own.chain(others).collect();
        let part = match self.mirror(Table::Members).position() {
            Some(_) => 1.0 / (names.len() as f64 * FLEET_MARGIN),
            None => 0.0,
        };
        let allowance = Allowance {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_ratio * RETRY_PART,
            extra: self.bounds.retry_extra * part,
        };
        let config: &Config = self.routes.config();
        let mut bearings = Map::default();
        for (name, service) in &config.services {
            let rate = match part > 0.0 {
                true => service.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra,
                false => 0.0,
            };
            let engine = service.engine.as_ref();
            let bearing = Bearing {
                cold_rate: (service.cold_rate > 0.0).then_some(rate),
                cold: service.cold,
                memory: engine.map_or(0.0, |engine| engine.memory_tokens as f64),
                event_tokens: engine.map_or(0.0, |engine| f64::from(engine.event_tokens)),
            };
            bearings.insert(name.clone(), bearing);
            self.budgets.entry(name.clone()).or_default().set(allowance);
        }
        self.pool.share(bearings, &names);
    }

    /// Chooses a backend server for a request.
    pub fn pick(
        &mut self,
        now: Instant,
        query: &Query,
        key: &str,
        session: Option<&str>,
    ) -> Result<Listing, Refusal> {
        let rejected = self.rejected.get(query.service);
        let takes = |listing: &Listing| {
            !rejected.is_some_and(|versions| versions.contains(&listing.version))
        };
        let Some(trial) = self.trials.get(query.service) else {
            return self.pool.pick(now, query, takes);
        };
        let known = session.and_then(|session| self.sessions.version(now, session));
        let known = known.map(|version| trial.side_of(version));
        let draw = stable_hash([trial.order.to.as_str(), session.unwrap_or(key)]);
        let side = trial.side(now, draw as f64 / u64::MAX as f64, known);
        let on_side = |listing: &Listing| trial.side_of(&listing.version) == side && takes(listing);
        match self.pool.pick(now, query, on_side) {
            // A version without a backend server leaves its requests to the other one, except that
            // one that was found bad gets none.
            Err(Refusal::Absent) if trial.outcome() != Outcome::RolledBack => {
                self.pool.pick(now, query, takes)
            }
            picked => picked,
        }
    }

    /// Counts a request of a session as sent to a version; true when the other nodes are to know.
    pub fn record_send(&mut self, now: Instant, listing: &Listing, session: Option<&str>) -> bool {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.sent(trial.side_of(&listing.version));
        }
        let news =
            session.is_some_and(|session| self.sessions.note(now, session, &listing.version));
        news && self.on_trial()
    }

    /// Notes that a request lost its backend server: the server may have ended under it.
    pub fn record_loss(&mut self, now: Instant, fingerprint: &str, server: &str) {
        let recent = |at: Instant| now.saturating_duration_since(at) < LOST_TIME;
        self.losses.retain(|loss| recent(loss.at));
        if self.losses.len() < MAX_LOST {
            self.losses.push(Loss {
                fingerprint: fingerprint.to_owned(),
                server: server.to_owned(),
                at: now,
            });
        }
    }

    /// Notes that a backend server has ended: the requests that just lost it are suspect.
    pub fn record_server_end(&mut self, now: Instant, server: &str) {
        let recent = |loss: &mut Loss| {
            loss.server == server && now.saturating_duration_since(loss.at) < LOST_TIME
        };
        for loss in self.losses.extract_if(.., recent) {
            let fingerprint = &loss.fingerprint;
            if self
                .suspects
                .crash(now, fingerprint, server, Duration::ZERO)
            {
                self.crashes.push((fingerprint.clone(), server.to_owned()));
            }
        }
    }

    /// Crashes that the other nodes haven't been told of.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Takes in how long a stage of a request took.
    pub fn record_time(
        &mut self,
        now: Instant,
        listing: &Listing,
        model: &str,
        stage: Stage,
        millis: f64,
    ) {
        let trial = self.trials.get_mut(&listing.service);
        let on_trial = trial.as_ref().is_some_and(|trial| {
            trial.outcome() != Outcome::Completed && trial.side_of(&listing.version) == Side::New
        });
        let ratio = self
            .pool
            .timed(now, listing, model, stage, millis, !on_trial);
        // The time to a first event depends on what an engine keeps, and a new one keeps nothing.
        if let (Stage::Pace | Stage::Whole, Some(trial), Some(ratio)) = (stage, trial, ratio) {
            trial.timed(trial.side_of(&listing.version), ratio.to_median > SLOWER);
        }
    }

    /// Takes in that a backend server kept silent for too long: that tells of its version what a
    /// slow answer does. Under load any version does so.
    pub fn record_silence(&mut self, listing: &Listing) {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.timed(trial.side_of(&listing.version), true);
        }
    }

    /// Takes in an answer of a version.
    pub fn record_answer(&mut self, listing: &Listing, bad: bool) {
        if let Some(trial) = self.trials.get_mut(&listing.service) {
            trial.answered(trial.side_of(&listing.version), bad);
        }
    }

    /// Counts the first send of a request.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.count(now);
        }
    }

    /// Takes a further send of a request out of the budget.
    pub fn take_retry(&mut self, now: Instant, service: &str) -> bool {
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.take(now, 1.0))
    }

    /// The same for a request that has an answer already.
    pub fn take_retry_after_answer(&mut self, now: Instant, service: &str) -> bool {
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.take(now, SPARE_PART))
    }
}
