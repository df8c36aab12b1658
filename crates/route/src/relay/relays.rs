//! Links of a node, and the nodes that are reported on them.

use super::plan::Plan;
use super::{Link, LinkId, Presence, Role, Scope, Settings};
use crate::member::{Member, Members};
use crate::{NodeName, Zone};
use contract::{Map, Set, stable_hash};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Key of the hash that orders nodes of the same capacity.
const ORDER_KEY: &str = "relays";

/// State of the attempts to open a link to an address.
#[derive(Clone, Copy, Debug)]
enum Dial {
    /// An attempt is in progress.
    InProgress { since: Instant, backoff: Duration },
    /// The last attempt failed; the next one may start at `retry_at`.
    Failed {
        retry_at: Instant,
        backoff: Duration,
    },
}

/// Links of a node, and the nodes that are reported on them.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    settings: Settings,
    links: Map<NodeName, Link>,
    dials: Map<SocketAddrV4, Dial>,
    last_id: LinkId,
    /// The relay that forwards this node's reports; `None` while this node is a relay itself.
    primary: Option<NodeName>,
    is_relay: bool,
    /// Nodes whose links should be kept.
    kept: Set<NodeName>,
    /// Relays that this node is attached to.
    parents: Set<NodeName>,
    /// Whether no other node is known. Then every node that answers is treated as a relay.
    is_alone: bool,
}

impl Relays {
    /// Creates the state of a node without links.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether this node is a relay as of the last plan.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Whether a link to the node should be kept as of the last plan.
    pub fn should_keep(&self, node: &str) -> bool {
        self.kept.contains(node)
    }

    /// Records that this node is opening a link to an address.
    pub fn dial_started(&mut self, now: Instant, address: SocketAddrV4) {
        let backoff = self.backoff(address);
        let dial = Dial::InProgress {
            since: now,
            backoff,
        };
        self.dials.insert(address, dial);
    }

    /// Records that a link that this node opened or tried to open has failed.
    pub fn dial_failed(&mut self, now: Instant, address: SocketAddrV4) {
        let backoff = self.backoff(address);
        let dial = Dial::Failed {
            retry_at: now + backoff,
            backoff: (backoff * 2).min(self.settings.max_backoff),
        };
        self.dials.insert(address, dial);
    }

    /// Returns the pause after the next failed attempt to open a link to an address.
    fn backoff(&self, address: SocketAddrV4) -> Duration {
        match self.dials.get(&address) {
            Some(Dial::Failed { backoff, .. } | Dial::InProgress { backoff, .. }) => *backoff,
            None => self.settings.min_backoff,
        }
    }

    /// Forgets the attempts for an address, after a link has opened or when none is needed.
    pub fn reset_backoff(&mut self, address: SocketAddrV4) {
        self.dials.remove(&address);
    }

    /// Adds an open link; `outbound` is set if this node opened it. Returns `None` if another link
    /// to the node takes precedence. When two nodes open links to each other at the same time, both
    /// keep the same one.
    pub fn add_link(
        &mut self,
        now: Instant,
        own: &str,
        peer: &NodeName,
        outbound: bool,
    ) -> Option<LinkId> {
        if let Some(known) = self.links.get(peer) {
            let opened_by_lesser = outbound == (own < peer.as_str());
            let live = known.last_heartbeat.is_none() || self.is_fresh(now, known);
            if known.outbound != outbound && !opened_by_lesser && live {
                return None;
            }
        }
        self.last_id += 1;
        let link = Link {
            id: self.last_id,
            outbound,
            last_heartbeat: None,
            role: Role::default(),
            presences: Vec::new(),
        };
        self.links.insert(peer.clone(), link);
        Some(self.last_id)
    }

    /// Whether this is still the link to the node.
    pub fn is_current(&self, peer: &str, id: LinkId) -> bool {
        self.links.get(peer).is_some_and(|link| link.id == id)
    }

    /// Removes a closed link and returns the nodes that were reported on it. Returns `None` if
    /// another link to the node has replaced it.
    pub fn remove_link(&mut self, peer: &str, id: LinkId) -> Option<Vec<Presence>> {
        if !self.is_current(peer, id) {
            return None;
        }
        if self.primary.as_deref() == Some(peer) {
            self.primary = None;
        }
        let link = self.links.remove(peer)?;
        Some(link.reported().to_vec())
    }

    /// Records a heartbeat of a node on its link. Returns the scope of its reports before if it has
    /// changed.
    pub fn record_heartbeat(&mut self, now: Instant, peer: &str, role: Role) -> Option<Scope> {
        let link = self.links.get_mut(peer)?;
        link.last_heartbeat = Some(now);
        let before = std::mem::replace(&mut link.role, role).scope;
        (before != role.scope).then_some(before)
    }

    /// Records a list of nodes from a peer; returns the nodes that it no longer reports. The list counts
    /// while the peer's role is to report more than itself.
    pub fn set_presences(&mut self, peer: &str, presences: Vec<Presence>) -> Vec<Presence> {
        let Some(link) = self.links.get_mut(peer) else {
            return Vec::new();
        };
        let tags: Set<u32> = presences.iter().map(|presence| presence.tag).collect();
        let mut before = link.reported().to_vec();
        link.presences = presences;
        before.retain(|presence| !tags.contains(&presence.tag));
        before
    }

    /// Returns the nodes that a peer reports as alive.
    pub fn presences(&self, peer: &str) -> &[Presence] {
        self.links.get(peer).map_or(&[], Link::reported)
    }

    /// Whether a node is reachable, over a direct link or through another node.
    pub fn is_reachable(&self, now: Instant, node: &str) -> bool {
        let tag = Presence::tag(node);
        let direct = self
            .links
            .get(node)
            .is_some_and(|link| self.is_fresh(now, link));
        let reports = |link: &Link| link.reported().iter().any(|presence| presence.tag == tag);
        direct
            || self
                .links
                .values()
                .any(|link| self.is_fresh(now, link) && reports(link))
    }

    fn is_fresh(&self, now: Instant, link: &Link) -> bool {
        let timeout = self.settings.timeout;
        link.last_heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) < timeout)
    }

    /// Returns `None` if the node isn't attached to this one, and otherwise whether this node is its
    /// primary relay.
    pub fn attachment(&self, now: Instant, node: &str) -> Option<bool> {
        let link = self.links.get(node)?;
        (link.role.attached && self.is_fresh(now, link)).then_some(link.role.primary)
    }

    /// Returns the scope of the reports to a peer.
    fn scope_for(&self, now: Instant, peer: &str) -> Scope {
        if self.attachment(now, peer).is_some() {
            return Scope::Fleet;
        }
        match self.is_relay {
            true => Scope::Group,
            false => Scope::Own,
        }
    }

    /// Returns the role of this node on the link to a peer.
    pub fn role_for(&self, now: Instant, peer: &str) -> Role {
        let scope = self.scope_for(now, peer);
        Role {
            scope,
            attached: scope == Scope::Own && (self.is_alone || self.parents.contains(peer)),
            primary: self.primary.as_deref() == Some(peer),
        }
    }

    /// Whether the load and evidence that a peer reports are counted. Reports of a second relay
    /// aren't, because they cover the same nodes.
    pub fn accepts_reports(&self, peer: &str) -> bool {
        let Some(link) = self.links.get(peer) else {
            return false;
        };
        match link.role.scope {
            Scope::Own => link.role.primary || !link.role.attached,
            Scope::Group => self.is_relay,
            Scope::Fleet => self.primary.as_deref() == Some(peer),
        }
    }

    /// Whether reports of this scope include the load and evidence of a node.
    pub fn is_reported(&self, now: Instant, scope: Scope, node: &str) -> bool {
        match scope {
            Scope::Own => false,
            Scope::Group => self.attachment(now, node) == Some(true),
            Scope::Fleet => true,
        }
    }

    /// Returns the tags of the nodes that reports of this scope list as alive: those with a direct
    /// link and, for the whole fleet, also the groups of other relays. A report about the whole fleet
    /// is never passed on, so that no report circulates.
    pub fn advertised(&self, now: Instant, scope: Scope) -> Set<u32> {
        let mut tags = Set::default();
        for (node, link) in &self.links {
            if !self.is_fresh(now, link) {
                continue;
            }
            let attached = link.role.attached;
            if scope == Scope::Fleet || scope == Scope::Group && attached {
                tags.insert(Presence::tag(node));
            }
            if scope == Scope::Fleet && link.role.scope == Scope::Group {
                tags.extend(link.reported().iter().map(|presence| presence.tag));
            }
        }
        tags
    }

    /// Returns the distinct roles of this node on its open links.
    pub fn roles(&self, now: Instant) -> Set<Role> {
        let links = self.links.keys();
        links.map(|peer| self.role_for(now, peer)).collect()
    }

    /// Plans the links that this node should have and returns the addresses to open now. All nodes
    /// select relays in the same order: by capacity, then by a hash of the name. Unreachable nodes
    /// are skipped and retried later.
    pub fn plan(
        &mut self,
        now: Instant,
        own: &Member,
        members: &Members,
        seeds: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        let mut zones: BTreeMap<&Zone, Vec<&Member>> = BTreeMap::new();
        let others = members.all().filter(|member| member.node != own.node);
        for member in others.chain([own]) {
            zones.entry(&member.zone).or_default().push(member);
        }
        let all = zones.values().map(Vec::len).sum::<usize>();
        let per_zone = match all <= self.settings.max_mesh_nodes {
            true => usize::MAX,
            false => self.settings.per_zone,
        };
        let mut plan = Plan::default();
        let own_zone = zones.remove(&own.zone).unwrap_or_default();
        let relays = self.select_relays(now, own, own_zone, per_zone, &mut plan);
        let selected = relays.iter().any(|member| member.node == own.node);
        let mut peers = self.links.keys();
        let is_relay = selected || peers.any(|node| self.attachment(now, node).is_some());
        if is_relay {
            for zone in zones.into_values() {
                self.select_relays(now, own, zone, per_zone, &mut plan);
            }
        }
        if all == 1 {
            let seeds = seeds
                .iter()
                .copied()
                .filter(|seed| *seed != own.link_address);
            plan.open
                .extend(seeds.filter(|seed| self.may_dial(now, *seed)));
        }
        self.is_alone = all == 1;
        self.is_relay = is_relay && !self.is_alone;
        let parents = relays.iter().map(|member| member.node.clone());
        self.parents = match self.is_relay {
            true => Set::default(),
            false => parents.collect(),
        };
        self.primary = match is_relay {
            true => None,
            false => self.select_primary(now, &relays),
        };
        self.kept = plan.kept;
        plan.open
    }

    /// Selects the first `limit` usable nodes of a zone in the common order. Links to them, and
    /// retries of the unreachable nodes before them, are added to the plan.
    fn select_relays<'a>(
        &self,
        now: Instant,
        own: &Member,
        mut zone: Vec<&'a Member>,
        limit: usize,
        plan: &mut Plan,
    ) -> Vec<&'a Member> {
        let order = |member: &&Member| {
            let hash = stable_hash([ORDER_KEY, member.node.as_str()]);
            Reverse((member.capacity, hash))
        };
        zone.sort_by_cached_key(order);
        let mut selected = Vec::new();
        for member in zone {
            if selected.len() >= limit {
                break;
            }
            if member.node == own.node {
                selected.push(member);
                continue;
            }
            plan.kept.insert(member.node.clone());
            if !self.links.contains_key(&member.node) && self.may_dial(now, member.link_address) {
                plan.open.push(member.link_address);
            }
            if self.is_usable(now, member) {
                selected.push(member);
            }
        }
        selected
    }

    /// Selects the primary among the relays: the current one while its link is live, otherwise the
    /// first with a live link.
    fn select_primary(&self, now: Instant, relays: &[&Member]) -> Option<NodeName> {
        let is_live = |node: &str| {
            let link = self.links.get(node);
            link.is_some_and(|link| self.is_fresh(now, link))
        };
        let current = self.primary.as_deref();
        let current = current.filter(|node| relays.iter().any(|member| member.node == *node));
        let others = relays.iter().map(|member| member.node.as_str());
        current
            .into_iter()
            .chain(others)
            .find(|node| is_live(node))
            .map(str::to_owned)
    }

    /// Whether a link to an address may be opened now.
    fn may_dial(&self, now: Instant, address: SocketAddrV4) -> bool {
        match self.dials.get(&address) {
            None => true,
            Some(Dial::InProgress { .. }) => false,
            Some(Dial::Failed { retry_at, .. }) => now >= *retry_at,
        }
    }

    /// Whether a node has a live link, or the first attempt to open one is recent or still to come.
    fn is_usable(&self, now: Instant, member: &Member) -> bool {
        if let Some(link) = self.links.get(&member.node) {
            return self.is_fresh(now, link) || link.last_heartbeat.is_none();
        }
        match self.dials.get(&member.link_address) {
            None => true,
            Some(Dial::InProgress { since, backoff }) => {
                *backoff == self.settings.min_backoff
                    && now.saturating_duration_since(*since) < self.settings.dial_grace
            }
            Some(Dial::Failed { .. }) => false,
        }
    }
}
