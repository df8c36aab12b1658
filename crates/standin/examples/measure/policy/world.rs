//! The run of one strategy: arrivals, service times and ratings in order of their time.

mod learning;
mod outcome;
mod queue;

use super::line::Line;
use super::request::{Normal, Request};
use super::server::Server;
use super::site::Site;
use super::strategy::{Choice, Placement, Strategy};
use super::tally::{Answer, Outcome, Record, Tally, Turn};
use contract::{Config, Map};
use limits::admission::{self, Decision as Admitted, Dequeued, Ticket};
use policy::placement::{Load, Pool, Query as Placed, prefix_hash};
use policy::plan::Shape;
use policy::planner::{Offer, Planner, Query, Rating, Transition};
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
            allow_cascade: task.gated,
            rating_latency: rating,
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
            rate: decision.needs_rating,
            begun: self.now,
            cost: 0,
            good: false,
            delivered: false,
        };
        self.flights.insert(index, flight);
        self.enter(index);
    }

    fn zone(&mut self, out: bool) {
        let zone = self.site.zones[0];
        for server in self.servers.iter_mut().filter(|one| one.zone == zone) {
            server.turn(out);
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
