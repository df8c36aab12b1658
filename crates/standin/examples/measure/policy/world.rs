//! The run of one strategy: arrivals, service times and ratings in order of their time.

use super::line::Line;
use super::request::{Normal, Request};
use super::server::Server;
use super::site::Site;
use super::strategy::{Choice, Placement, Strategy};
use super::tally::{Answer, Outcome, Record, Tally, Turn};
use contract::{Config, Map};
use limits::admission::{self, Next, Offer as Admitted, Ticket};
use policy::place::{Load, Pool, Query as Placed, prefix};
use policy::plan::Shape;
use policy::planner::{Change, Offer, Planner, Query, Rating};
use policy::quality::{Origin, Subject};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Age of load reports at most.
const REPORTS: Duration = Duration::from_secs(1);

/// Interval at which nodes exchange counts.
const EXCHANGE: Duration = Duration::from_millis(250);

/// Time until a placement is tried again when no server has a slot.
const RETRY: Duration = Duration::from_millis(5);

/// Time that nodes take to learn that a zone is out or back.
const PROPAGATION: Duration = Duration::from_secs(1);

/// Expected time of a rating that a caller waits for.
const RATING: Duration = Duration::from_millis(40);

/// Latest time of a rating that nobody waits for.
const LATE_RATING: Duration = Duration::from_secs(5);

/// Time after the last request at which a run ends.
const PATIENCE: Duration = Duration::from_secs(120);

/// Share of the ratings that are lost.
const LOST_RATINGS: f64 = 0.05;

/// What changes during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disturbance {
    /// From when on the first version is bad, and its quality.
    pub turn: Option<(Duration, f64)>,
    /// From when until when the first zone is out.
    pub zone: Option<(Duration, Duration)>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Retry(usize),
    Finish(usize, usize),
    Gate(usize),
    Rate(usize),
    Report,
    Exchange,
    Zone(bool),
}

struct Node {
    planner: Planner,
    queues: Vec<Line>,
    sent: u64,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct Flight {
    version: usize,
    then: Option<usize>,
    escalated: bool,
    rate: bool,
    begun: Duration,
    cost: u64,
    good: bool,
    delivered: bool,
}

/// The run of one strategy.
pub struct World<'a> {
    site: &'a Site,
    strategy: &'a Strategy,
    requests: &'a [Request],
    normal: &'a Normal,
    disturbance: Disturbance,
    specs: Vec<contract::Version>,
    servers: Vec<Server>,
    /// Servers of each version, indexed for placement, with their positions.
    pools: Vec<(Pool, Vec<usize>)>,
    nodes: Vec<Node>,
    flights: Map<usize, Flight>,
    sessions: Map<(usize, u32), usize>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    turn: usize,
    start: Instant,
    now: Duration,
    rng: SmallRng,
    tally: Tally,
}

impl<'a> World<'a> {
    pub fn new(
        site: &'a Site,
        strategy: &'a Strategy,
        requests: &'a [Request],
        normal: &'a Normal,
        (config, disturbance): (&Config, Disturbance),
    ) -> Self {
        let start = Instant::now();
        let servers = Server::all(site);
        let pools = (0..site.versions.len())
            .map(|version| pool(strategy, &servers, version))
            .collect();
        let nodes = (0..site.nodes).map(|_| node(site, strategy, config, start));
        Self {
            specs: specs(site, config),
            nodes: nodes.collect(),
            site,
            strategy,
            requests,
            normal,
            disturbance,
            servers,
            pools,
            flights: Map::default(),
            sessions: Map::default(),
            events: BinaryHeap::new(),
            count: 0,
            turn: 0,
            start,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(requests.len() as u64),
            tally: Tally::default(),
        }
    }

    /// Runs all requests to their end.
    pub fn run(mut self, length: Duration) -> Tally {
        self.tally.length = length;
        for (index, request) in self.requests.iter().enumerate() {
            self.at(request.at, Event::Arrive(index));
        }
        if let Some((out, back)) = self.disturbance.zone {
            self.at(out + PROPAGATION, Event::Zone(true));
            self.at(back + PROPAGATION, Event::Zone(false));
        }
        self.at(REPORTS, Event::Report);
        self.at(EXCHANGE, Event::Exchange);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            let ended = self.tally.records.len() == self.requests.len();
            if ended || at > length + PATIENCE {
                break;
            }
        }
        self.abandon();
        self.tally
    }

    /// Records the requests that still wait.
    fn abandon(&mut self) {
        let waiting: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| !flight.delivered)
            .map(|(index, flight)| (*index, flight.cost))
            .collect();
        for (index, cost) in waiting {
            self.record(index, cost, Outcome::Unfinished);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Retry(index) => self.start(index),
            Event::Finish(index, server) => self.finish(index, server),
            Event::Gate(index) => self.gate(index),
            Event::Rate(index) => self.rate(index),
            Event::Report => {
                self.servers.iter_mut().for_each(Server::report);
                self.at(self.now + REPORTS, Event::Report);
            }
            Event::Exchange => {
                self.exchange();
                self.at(self.now + EXCHANGE, Event::Exchange);
            }
            Event::Zone(out) => self.zone(out),
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        let task = &self.site.tasks[request.task];
        let customer = customer(request.customer);
        let pinned = request
            .session
            .and_then(|session| self.sessions.get(&(request.customer, session)))
            .map(|version| &self.site.versions[*version]);
        let planned = self.strategy.choice == Choice::Planned;
        let rating = (planned && self.strategy.cascades).then_some(RATING);
        let query = Query {
            customer: &customer,
            task: task.name,
            target: if planned { task.target } else { 0.0 },
            deadline: Duration::from_millis(task.deadline_ms),
            cascade: task.gated,
            rating,
            session: pinned.map(|version| (version.model, version.name)),
            prompt_tokens: task.prompt,
            max_tokens: (task.tokens * 2.0) as u32,
            nodes: self.site.nodes as u32,
            ..Default::default()
        };
        let offers = self.offers(index, &customer, pinned.is_some());
        let (now, specs) = (self.instant(), &self.specs);
        let offers: Vec<_> = offers
            .into_iter()
            .map(|(version, ready, wait)| Offer {
                model: self.site.versions[version].model,
                version: &specs[version],
                ready,
                wait,
            })
            .collect();
        let planner = &mut self.nodes[request.node].planner;
        let Ok(decision) = planner.plan(now, &query, &offers, &mut self.rng) else {
            return self.record(index, 0, Outcome::Refused);
        };
        let version = |index: usize| {
            let offer = &offers[index];
            let mut versions = self.site.versions.iter();
            versions.position(|one| one.model == offer.model && one.name == offer.version.name)
        };
        let (first, then) = match decision.plan.shape {
            Shape::Single(one) => (version(one), None),
            Shape::Cascade { first, then } => (version(first), version(then)),
        };
        let flight = Flight {
            version: first.expect("an offered version"),
            then,
            escalated: false,
            rate: decision.rate,
            begun: self.now,
            cost: 0,
            good: false,
            delivered: false,
        };
        self.flights.insert(index, flight);
        self.enter(index);
    }

    /// Versions that the strategy leaves to choose from, whether they have servers, and their waits.
    fn offers(&self, index: usize, customer: &str, all: bool) -> Vec<(usize, bool, Duration)> {
        let request = &self.requests[index];
        let deadline = self.site.tasks[request.task].deadline_ms;
        let versions = 0..self.site.versions.len();
        let offers = versions.map(|version| {
            let ready = self
                .servers
                .iter()
                .any(|one| one.version == version && !one.out);
            let wait = match self.strategy.waits {
                true => {
                    let subject = self.subject(customer, index, version);
                    let node = &self.nodes[request.node];
                    let expected = node
                        .planner
                        .durations(subject)
                        .map_or(RATING, |both| both.0);
                    node.queues[version].expected_wait(&admission::Request {
                        ticket: 0,
                        customer,
                        priority: 5,
                        weight: 1,
                        deadline: self.instant() + Duration::from_millis(deadline),
                        expected,
                    })
                }
                false => Duration::ZERO,
            };
            (version, ready, wait)
        });
        let offers: Vec<_> = offers.collect();
        let priors = &self.site.versions;
        let one = match self.strategy.choice {
            _ if all => None,
            Choice::Planned => None,
            Choice::Best => offers
                .iter()
                .max_by(|a, b| priors[a.0].prior.total_cmp(&priors[b.0].prior)),
            Choice::Cheapest => offers.iter().min_by_key(|one| priors[one.0].output_micros),
        };
        one.map_or_else(|| offers.clone(), |one| vec![*one])
    }

    /// Asks for leave to run at the version's servers.
    fn enter(&mut self, index: usize) {
        let flight = self.flights[&index];
        let request = &self.requests[index];
        let task = &self.site.tasks[request.task];
        let name = customer(request.customer);
        let subject = self.subject(&name, index, flight.version);
        let now = self.instant();
        let capacity = self.capacity(flight.version);
        let node = &mut self.nodes[request.node];
        let expected = node
            .planner
            .durations(subject)
            .map_or(RATING, |both| both.0);
        let due = self.start + request.at + Duration::from_millis(task.deadline_ms);
        let queue = &mut node.queues[flight.version];
        queue.resize(capacity);
        let entry = admission::Request {
            ticket: index as Ticket,
            customer: &name,
            priority: 5,
            weight: 1,
            deadline: due,
            expected,
        };
        match queue.offer(now, entry) {
            Ok(Admitted::Run) => self.start(index),
            Ok(Admitted::Wait) => self.pump(request.node, flight.version),
            Ok(Admitted::Evict(ticket)) => self.refuse(ticket as usize),
            Err(_) => self.refuse(index),
        }
    }

    /// Slots of a version at each node.
    fn capacity(&self, version: usize) -> u32 {
        let spec = &self.site.versions[version];
        let servers = self.servers.iter();
        let slots: u32 = servers
            .filter(|one| one.version == version && !one.out)
            .map(|one| one.slots(spec))
            .sum();
        slots.div_ceil(self.site.nodes as u32)
    }

    /// Starts a request that has leave to run.
    fn start(&mut self, index: usize) {
        let Some(flight) = self.flights.get(&index).copied() else {
            return;
        };
        let request = &self.requests[index];
        let Some(server) = self.place(index, flight.version) else {
            return self.at(self.now + RETRY, Event::Retry(index));
        };
        let spec = &self.site.versions[flight.version];
        let one = &mut self.servers[server];
        self.tally.cold_overruns += u32::from(one.cold > 0 && one.running > 0);
        one.unreported[request.node] += 1;
        let took = one.start(spec, self.site, request);
        self.at(self.now + took, Event::Finish(index, server));
    }

    fn place(&mut self, index: usize, version: usize) -> Option<usize> {
        let request = &self.requests[index];
        let spec = &self.site.versions[version];
        let (pool, members) = &self.pools[version];
        let load = |one: usize| {
            let server = &self.servers[members[one]];
            let slots = server.slots(spec);
            (!server.out && server.running < slots).then(|| Load {
                free: slots - server.running,
                capacity: spec.slots,
                reported: server.reported,
                unreported: server.unreported[request.node],
                cold: server.cold > 0,
            })
        };
        let count = members.len();
        let chosen = match self.strategy.placement {
            Placement::RoundRobin => {
                self.turn += 1;
                let turn = self.turn;
                (0..count)
                    .map(|step| (turn + step) % count)
                    .find(|one| load(*one).is_some())
            }
            Placement::LeastOutstanding => (0..count)
                .filter_map(|one| Some((load(one)?.unreported, one)))
                .min()
                .map(|(_, one)| one),
            Placement::Weighed => {
                let name = customer(request.customer);
                let query = Placed {
                    key: Some(prefix(&name, self.site.tasks[request.task].name)),
                    zone: self.site.zones[request.node % self.site.zones.len()],
                    ..Default::default()
                };
                pool.choose(&query, load, &mut self.rng)
            }
        };
        chosen.map(|one| members[one])
    }

    fn finish(&mut self, index: usize, server: usize) {
        self.servers[server].finish();
        let request = &self.requests[index];
        let mut flight = self.flights[&index];
        let spec = &self.site.versions[flight.version];
        let took = self.now.saturating_sub(flight.begun);
        let quality = match self.disturbance.turn {
            Some((from, bad)) if flight.version == 0 && self.now >= from => bad,
            _ => spec.quality[request.task],
        };
        flight.good = request.good(self.normal, flight.version, quality);
        let prompt = self.site.tasks[request.task].prompt;
        let micros = prompt * spec.input_micros + request.tokens * spec.output_micros;
        flight.cost += micros.div_ceil(1_000);
        self.flights.insert(index, flight);
        let name = customer(request.customer);
        let subject = self.subject(&name, index, flight.version);
        let now = self.instant();
        let node = &mut self.nodes[request.node];
        node.planner.answered(now, subject, request.tokens, took);
        node.queues[flight.version].finish(took);
        self.pump(request.node, flight.version);
        if flight.then.is_some() && !flight.escalated {
            let rating = RATING.mul_f64(0.5 + self.rng.random::<f64>());
            self.at(self.now + rating, Event::Gate(index));
            return;
        }
        self.deliver(index);
        if flight.rate && !self.rng.random_bool(LOST_RATINGS) {
            let late = LATE_RATING.mul_f64(self.rng.random());
            self.at(self.now + late, Event::Rate(index));
        } else {
            self.flights.remove(&index);
        }
    }

    /// The rating of a first answer is in: it goes out, or the better version takes over.
    fn gate(&mut self, index: usize) {
        self.learn(index);
        let flight = self.flights.get_mut(&index).expect("a gated request");
        if flight.good {
            self.deliver(index);
            self.flights.remove(&index);
            return;
        }
        flight.version = flight.then.expect("a cascade");
        flight.escalated = true;
        flight.begun = self.now;
        self.enter(index);
    }

    fn rate(&mut self, index: usize) {
        self.learn(index);
        self.flights.remove(&index);
    }

    fn learn(&mut self, index: usize) {
        if !self.strategy.learning {
            return;
        }
        let flight = self.flights[&index];
        let request = &self.requests[index];
        let name = customer(request.customer);
        let rating = Rating {
            subject: self.subject(&name, index, flight.version),
            escalated: flight.escalated,
            good: flight.good,
        };
        let now = self.instant();
        let turned = self
            .disturbance
            .turn
            .is_some_and(|(from, _)| self.now >= from);
        if turned && flight.version == 0 {
            self.tally.ratings.push(self.now);
        }
        let changes = self.nodes[request.node].planner.rated(now, &rating);
        self.note(changes);
    }

    fn deliver(&mut self, index: usize) {
        let flight = self.flights.get_mut(&index).expect("a request under way");
        flight.delivered = true;
        let flight = *flight;
        let request = &self.requests[index];
        let task = &self.site.tasks[request.task];
        let took = self.now - request.at;
        if let Some(session) = request.session {
            let key = (request.customer, session);
            self.sessions.entry(key).or_insert(flight.version);
        }
        let answer = Answer {
            took,
            good: flight.good,
            late: took > Duration::from_millis(task.deadline_ms),
            version: flight.version,
            session: request.session.is_some(),
        };
        self.record(index, flight.cost, Outcome::Answered(answer));
    }

    fn refuse(&mut self, index: usize) {
        let flight = self.flights.remove(&index);
        let cost = flight.map_or(0, |flight| flight.cost);
        // The caller of a cascade gets the first answer rather than none.
        match flight.filter(|flight| flight.escalated) {
            Some(flight) => {
                self.flights.insert(index, flight);
                self.deliver(index);
                self.flights.remove(&index);
            }
            None => self.record(index, cost, Outcome::Refused),
        }
    }

    /// Lets those run whose turn it is.
    fn pump(&mut self, node: usize, version: usize) {
        let now = self.instant();
        while let Some(next) = self.nodes[node].queues[version].next(now) {
            match next {
                Next::Run(ticket) => {
                    let index = ticket as usize;
                    if let Some(flight) = self.flights.get_mut(&index) {
                        flight.begun = self.now;
                    }
                    self.start(index);
                }
                Next::Shed(ticket) => self.refuse(ticket as usize),
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.instant();
        let mut cells = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let sequence = node.planner.sequence();
            cells.push((index, node.planner.cells(now, node.sent)));
            node.sent = sequence;
        }
        let mut changes = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            changes.extend(node.planner.tick(now));
            if !self.strategy.exchange {
                continue;
            }
            for (from, cells) in cells.iter().filter(|(from, _)| *from != index) {
                let origin = Origin {
                    node: format!("n{from}"),
                    incarnation: 1,
                };
                for cell in cells {
                    changes.extend(node.planner.merge(now, &origin, cell));
                }
            }
        }
        self.note(changes);
    }

    fn zone(&mut self, out: bool) {
        let zone = self.site.zones[0];
        for server in self.servers.iter_mut().filter(|one| one.zone == zone) {
            server.turn(out);
        }
    }

    fn note(&mut self, changes: Vec<Change>) {
        let at = self.now;
        let turns = changes.into_iter().map(|change| Turn {
            at,
            version: format!("{}@{}", change.model, change.version),
            what: format!("{:?}", change.event),
        });
        self.tally.turns.extend(turns);
    }

    fn record(&mut self, index: usize, cost: u64, outcome: Outcome) {
        let request = &self.requests[index];
        self.tally.records.push(Record {
            at: request.at,
            customer: request.customer,
            task: request.task,
            cost,
            outcome,
        });
    }

    fn subject<'b>(&self, name: &'b str, index: usize, version: usize) -> Subject<'b>
    where
        'a: 'b,
    {
        let version = &self.site.versions[version];
        Subject {
            model: version.model,
            version: version.name,
            task: self.site.tasks[self.requests[index].task].name,
            customer: name,
        }
    }
}

fn node(site: &Site, strategy: &Strategy, config: &Config, start: Instant) -> Node {
    let mut planner = Planner::new(strategy.planner.clone());
    planner.configure(start, config);
    let lines = site.versions.iter();
    Node {
        planner,
        queues: lines.map(|_| Line::new(strategy.admission)).collect(),
        sent: 0,
    }
}

fn pool(strategy: &Strategy, servers: &[Server], version: usize) -> (Pool, Vec<usize>) {
    let members: Vec<_> = (0..servers.len())
        .filter(|index| servers[*index].version == version)
        .collect();
    let named = members.iter().map(|index| {
        let server = &servers[*index];
        (server.name.clone(), server.zone.to_owned())
    });
    (Pool::new(strategy.place.clone(), named), members)
}

fn specs(site: &Site, config: &Config) -> Vec<contract::Version> {
    let versions = site.versions.iter();
    versions
        .map(|one| {
            config
                .version(one.model, one.name)
                .expect("configured")
                .clone()
        })
        .collect()
}

fn customer(index: usize) -> String {
    format!("customer-{index}")
}
