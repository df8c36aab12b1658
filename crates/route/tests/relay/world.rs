//! Simulation of a fleet of nodes.

use route::NodeName;
use route::member::{Member, Members};
use route::relay::{Delivery, LinkId, ListId, Presence, Relays, Role, Scope, Settings, Step};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(50);
/// Interval between two plans of the links, in steps.
const PLAN_INTERVAL: u32 = 2;
/// Interval between two heartbeats, in steps.
const HEARTBEAT_INTERVAL: u32 = 6;
/// Time after which opening a link to an unresponsive machine fails.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a heartbeat after which a link is closed.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// An open link between two nodes, by index; the first node opened it.
struct Link {
    ends: [usize; 2],
    ids: [LinkId; 2],
    last_heartbeat: [Instant; 2],
    /// What each end was sent last.
    sent: [Sent; 2],
}

/// The list of nodes that a node was sent last over a link.
#[derive(Default)]
struct Sent {
    list: Option<(Scope, Vec<Presence>)>,
    id: ListId,
    delivery: Delivery,
}

/// Build of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Build {
    Current,
    /// It doesn't clear the lists that it has sent, and counts the last list of a link whatever the role
    /// of the other node is.
    Earlier,
}

struct Node {
    build: Build,
    member: Member,
    members: Members,
    relays: Relays,
    /// Loads that other nodes report, by reporter.
    reports: BTreeMap<NodeName, f64>,
    running: bool,
    frozen: bool,
}

/// A fleet of nodes, each with a load of 1.
pub struct World {
    nodes: Vec<Node>,
    links: Vec<Link>,
    pending_failures: Vec<(Instant, usize, SocketAddrV4)>,
    partitioned: Vec<(String, String)>,
    now: Instant,
    steps: u32,
}

fn member(index: usize, zones: usize) -> Member {
    let address = |port: u16| {
        let ip = [10, 0, (index / 250) as u8, (index % 250) as u8];
        SocketAddrV4::new(ip.into(), port)
    };
    Member {
        node: format!("n-{index}"),
        zone: format!("z-{}", index % zones),
        http_address: address(80),
        link_address: address(81),
        capacity: if index < zones { 500 } else { 120 },
    }
}

impl World {
    pub fn new(nodes: usize, zones: usize) -> Self {
        let all: Vec<_> = (0..nodes).map(|index| member(index, zones)).collect();
        let node = |index: usize| {
            let mut members = Members::default();
            for member in all.iter().filter(|member| **member != all[index]) {
                members.add(member.clone());
            }
            Node {
                build: Build::Current,
                member: all[index].clone(),
                members,
                relays: Relays::new(Settings::default()),
                reports: BTreeMap::new(),
                running: true,
                frozen: false,
            }
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            links: Vec::new(),
            pending_failures: Vec::new(),
            partitioned: Vec::new(),
            now: Instant::now(),
            steps: 0,
        }
    }

    /// Sets the build of some nodes.
    pub fn set_build(&mut self, nodes: impl IntoIterator<Item = usize>, build: Build) {
        for index in nodes {
            self.nodes[index].build = build;
        }
    }

    /// Returns the number of other nodes that a node considers alive.
    pub fn live_peers(&self, index: usize) -> usize {
        self.nodes[index].members.alive(self.now).count()
    }

    /// Returns the load of all nodes as one node knows it.
    pub fn total_load(&self, index: usize) -> f64 {
        1.0 + self.nodes[index].reports.values().sum::<f64>()
    }

    /// Returns the number of open links of a node.
    pub fn links(&self, index: usize) -> usize {
        self.links
            .iter()
            .filter(|link| link.ends.contains(&index))
            .count()
    }

    /// Returns the relays of a zone.
    pub fn relays_of(&self, zone: usize) -> Vec<usize> {
        let nodes = self.zone(zone);
        nodes
            .into_iter()
            .filter(|index| self.nodes[*index].relays.is_relay())
            .collect()
    }

    /// Returns the nodes of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let name = format!("z-{zone}");
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.member.zone == name)
            .map(|(index, _)| index)
            .collect()
    }

    /// Stops a process, which resets its connections.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].running = false;
        let links = self.links.iter().enumerate();
        let stopped: Vec<_> = links
            .filter(|(_, link)| link.ends.contains(&index))
            .map(|(at, _)| at)
            .collect();
        for at in stopped.into_iter().rev() {
            self.close(at);
        }
    }

    /// Restarts a stopped process.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.running = true;
        node.relays = Relays::new(Settings::default());
        node.reports.clear();
        let known: Vec<_> = node.members.all().cloned().collect();
        node.members = Members::default();
        for member in known {
            node.members.add(member);
        }
    }

    /// Freezes a machine: it neither sends nor receives, but its connections stay open.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
    }

    /// Partitions two zones from each other.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.partitioned
            .push((format!("z-{one}"), format!("z-{other}")));
    }

    pub fn heal(&mut self, one: usize, other: usize) {
        let pair = (format!("z-{one}"), format!("z-{other}"));
        self.partitioned.retain(|partitioned| *partitioned != pair);
    }

    /// Advances the simulation by this time.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let due: Vec<_> = self
            .pending_failures
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, index, address) in due {
            self.nodes[index].relays.dial_failed(now, address);
        }
        if self.steps.is_multiple_of(PLAN_INTERVAL) {
            (0..self.nodes.len()).for_each(|index| self.plan_links(index));
        }
        if self.steps.is_multiple_of(HEARTBEAT_INTERVAL) {
            self.send_heartbeats();
        }
        let silent = |link: &Link| {
            link.last_heartbeat
                .iter()
                .any(|at| now - *at > LINK_TIMEOUT)
        };
        let silent: Vec<_> = (0..self.links.len())
            .filter(|at| silent(&self.links[*at]))
            .collect();
        for at in silent.into_iter().rev() {
            self.close(at);
        }
    }

    fn is_delivered(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let zones = (&from.member.zone, &to.member.zone);
        let partitioned =
            |(one, other): &(String, String)| (one, other) == zones || (other, one) == zones;
        to.running && !to.frozen && !self.partitioned.iter().any(partitioned)
    }

    fn plan_links(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.running || node.frozen {
            return;
        }
        let due = node.relays.plan(now, &node.member, &node.members, &[]);
        for address in due {
            self.nodes[index].relays.dial_started(now, address);
            let peer = self
                .nodes
                .iter()
                .position(|node| node.member.link_address == address);
            let peer = peer.expect("an address of a node");
            match self.is_delivered(index, peer) {
                true => self.open(index, peer),
                false if self.nodes[peer].running => {
                    self.pending_failures
                        .push((now + OPEN_TIMEOUT, index, address))
                }
                false => self.nodes[index].relays.dial_failed(now, address),
            }
        }
    }

    fn open(&mut self, index: usize, peer: usize) {
        let now = self.now;
        let (own, other) = (self.name(index), self.name(peer));
        let address = self.nodes[peer].member.link_address;
        let far = self.nodes[peer].relays.add_link(now, &other, &own, false);
        let near = self.nodes[index].relays.add_link(now, &own, &other, true);
        let (Some(near), Some(far)) = (near, far) else {
            self.nodes[index].relays.dial_failed(now, address);
            return;
        };
        self.nodes[index].relays.reset_backoff(address);
        self.links.push(Link {
            ends: [index, peer],
            ids: [near, far],
            last_heartbeat: [now; 2],
            sent: Default::default(),
        });
    }

    fn name(&self, index: usize) -> NodeName {
        self.nodes[index].member.node.clone()
    }

    fn close(&mut self, at: usize) {
        let link = self.links.swap_remove(at);
        for (side, index) in link.ends.into_iter().enumerate() {
            let peer = link.ends[1 - side];
            let name = self.name(peer);
            let node = &mut self.nodes[index];
            let Some(mut gone) = node.relays.remove_link(&name, link.ids[side]) else {
                continue;
            };
            if side == 0 {
                node.relays.dial_failed(self.now, member_address(peer));
            }
            node.reports.remove(&name);
            gone.push(Presence {
                tag: Presence::tag(&name),
                ready: false,
                follows_store: false,
                reaches_servers: true,
                names_era: true,
            });
            self.mark_unreachable(index, &gone);
        }
    }

    fn mark_unreachable(&mut self, index: usize, gone: &[Presence]) {
        let now = self.now;
        let node = &mut self.nodes[index];
        for presence in gone {
            let name = node.members.by_tag(presence.tag).cloned();
            if let Some(name) = name.filter(|name| !node.relays.is_reachable(now, name)) {
                node.members.mark_lost(&name);
            }
        }
    }

    /// Sends the heartbeats of all nodes on all links.
    fn send_heartbeats(&mut self) {
        let now = self.now;
        for at in 0..self.links.len() {
            for side in 0..2 {
                let (from, to) = (self.links[at].ends[side], self.links[at].ends[1 - side]);
                if self.nodes[from].frozen || !self.is_delivered(from, to) {
                    continue;
                }
                self.links[at].last_heartbeat[1 - side] = now;
                self.send_heartbeat(at, side);
            }
        }
        let unneeded: Vec<_> = (0..self.links.len())
            .filter(|at| {
                let [near, far] = self.links[*at].ends;
                let (node, peer) = (&self.nodes[near], self.name(far));
                !node.frozen
                    && !node.relays.should_keep(&peer)
                    && node.relays.attachment(now, &peer).is_none()
            })
            .collect();
        for at in unneeded.into_iter().rev() {
            self.close(at);
        }
    }

    /// Sends the list of nodes, if it is to be sent, and the heartbeat of one end of a link.
    fn send_heartbeat(&mut self, at: usize, side: usize) {
        let now = self.now;
        let (from, to) = (self.links[at].ends[side], self.links[at].ends[1 - side]);
        let (sender, receiver) = (self.name(from), self.name(to));
        let role = self.nodes[from].relays.role_for(now, &receiver);
        if let Some(list) = self.next_list(at, side, role.scope) {
            self.receive_list(to, &sender, list);
        }
        let node = &self.nodes[from];
        let reported =
            |(name, _): &(&NodeName, &f64)| node.relays.is_reported(now, role.scope, name);
        let load = 1.0
            + node
                .reports
                .iter()
                .filter(reported)
                .map(|(_, load)| load)
                .sum::<f64>();
        self.receive_heartbeat(to, &sender, role, load);
    }

    /// Returns the list to send over a link; none if the other end holds the current one.
    fn next_list(&mut self, at: usize, side: usize, scope: Scope) -> Option<Vec<Presence>> {
        let node = &self.nodes[self.links[at].ends[side]];
        let presences = node
            .members
            .presences(self.now, node.relays.advertised(self.now, scope));
        let sent = &mut self.links[at].sent[1 - side];
        if scope == Scope::Own && node.build == Build::Earlier {
            return None;
        }
        let current = Some((scope, presences.clone()));
        if scope != Scope::Own && sent.list != current {
            sent.id += 1;
            sent.list = current;
        }
        let id = (scope != Scope::Own).then_some(sent.id);
        match sent.delivery.advance(self.now, scope, id) {
            Step::Keep => None,
            Step::Replace => Some(presences),
            Step::Clear => Some(Vec::new()),
        }
    }

    fn receive_list(&mut self, to: usize, sender: &NodeName, list: Vec<Presence>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        let gone = node.relays.set_presences(sender, list);
        self.mark_unreachable(to, &gone);
        let node = &mut self.nodes[to];
        node.members
            .merge_presences(now, sender, node.relays.presences(sender));
    }

    fn receive_heartbeat(&mut self, to: usize, sender: &NodeName, role: Role, load: f64) {
        let now = self.now;
        let node = &mut self.nodes[to];
        // Lists count whatever the role is, as if it were always that of a relay.
        let seen = match (node.build, role.scope) {
            (Build::Earlier, Scope::Own) => Role {
                scope: Scope::Group,
                ..role
            },
            _ => role,
        };
        node.relays.record_heartbeat(now, sender, seen);
        let presence = Presence {
            tag: Presence::tag(sender),
            ready: true,
            follows_store: false,
            reaches_servers: true,
            names_era: true,
        };
        node.members.record_heartbeat(now, sender, presence);
        node.members
            .merge_presences(now, sender, node.relays.presences(sender));
        match node.relays.accepts_reports(sender) {
            true if role.scope == Scope::Fleet => node.reports.insert(sender.clone(), load - 1.0),
            true => node.reports.insert(sender.clone(), load),
            false => node.reports.remove(sender),
        };
    }
}

fn member_address(index: usize) -> SocketAddrV4 {
    member(index, 1).link_address
}
