//! A node's links, and whom it hears through them.

use super::plan::Plan;
use super::{Link, LinkId, Presence, Role, Scope, Settings};
use crate::member::{Member, Members};
use crate::{NodeName, Zone};
use contract::{Map, Set, stable_hash};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Key by which nodes of the same capacity are ordered.
const ORDER_KEY: &str = "relays";

/// How links to an address went.
#[derive(Clone, Copy, Debug)]
enum Reach {
    /// One is being opened.
    Opening { since: Instant, pause: Duration },
    /// The last one failed; the next one may be tried at a time.
    Failed { next: Instant, pause: Duration },
}

/// A node's links, and whom it hears through them.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    settings: Settings,
    links: Map<NodeName, Link>,
    reach: Map<SocketAddrV4, Reach>,
    last_id: LinkId,
    /// The relay that passes on this node's work; none while it is a relay itself.
    primary: Option<NodeName>,
    relay: bool,
    /// Nodes to which links are to stay.
    kept: Set<NodeName>,
    /// Relays that this node is attached to.
    parents: Set<NodeName>,
    /// Whether no other node is known: whoever answers is a relay then.
    alone: bool,
}

impl Relays {
    /// A node without links.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether this node is a relay, as of the last plan.
    pub fn is_relay(&self) -> bool {
        self.relay
    }

    /// Whether a link to a node is to stay, as of the last plan.
    pub fn should_keep(&self, node: &str) -> bool {
        self.kept.contains(node)
    }

    /// Notes that a link to an address is being opened.
    pub fn dial_started(&mut self, now: Instant, address: SocketAddrV4) {
        let pause = self.pause(address);
        let opening = Reach::Opening { since: now, pause };
        self.reach.insert(address, opening);
    }

    /// Notes that a link that this node opened, or wanted to open, has failed.
    pub fn dial_failed(&mut self, now: Instant, address: SocketAddrV4) {
        let pause = self.pause(address);
        let failed = Reach::Failed {
            next: now + pause,
            pause: (pause * 2).min(self.settings.max_backoff),
        };
        self.reach.insert(address, failed);
    }

    /// Pause after the next link to an address that fails.
    fn pause(&self, address: SocketAddrV4) -> Duration {
        match self.reach.get(&address) {
            Some(Reach::Failed { pause, .. } | Reach::Opening { pause, .. }) => *pause,
            None => self.settings.min_backoff,
        }
    }

    /// Forgets how links to an address failed: one has opened, or none is needed.
    pub fn reset_backoff(&mut self, address: SocketAddrV4) {
        self.reach.remove(&address);
    }

    /// Notes an open link, by whom it was opened; none when another link to the node stays. Of two
    /// that were opened at once, both nodes keep the same one.
    pub fn add_link(
        &mut self,
        now: Instant,
        own: &str,
        peer: &NodeName,
        opened: bool,
    ) -> Option<LinkId> {
        if let Some(known) = self.links.get(peer) {
            let by_less = opened == (own < peer.as_str());
            let stays = known.heard.is_none() || self.is_fresh(now, known);
            if known.opened != opened && !by_less && stays {
                return None;
            }
        }
        self.last_id += 1;
        let link = Link {
            id: self.last_id,
            opened,
            heard: None,
            role: Role::default(),
            presences: Vec::new(),
        };
        self.links.insert(peer.clone(), link);
        Some(self.last_id)
    }

    /// Whether a link is still the one to its node.
    pub fn is_current(&self, peer: &str, id: LinkId) -> bool {
        self.links.get(peer).is_some_and(|link| link.id == id)
    }

    /// Notes the end of a link. Gives the nodes that were known through it; none when another link to
    /// the node has taken its place.
    pub fn remove_link(&mut self, peer: &str, id: LinkId) -> Option<Vec<Presence>> {
        if !self.is_current(peer, id) {
            return None;
        }
        if self.primary.as_deref() == Some(peer) {
            self.primary = None;
        }
        self.links.remove(peer).map(|link| link.presences)
    }

    /// Takes in a word of a node on its link.
    pub fn record_heartbeat(&mut self, now: Instant, peer: &str, role: Role) {
        if let Some(link) = self.links.get_mut(peer) {
            link.heard = Some(now);
            link.role = role;
        }
    }

    /// Takes in whom a node has heard of; gives those that it no longer names.
    pub fn set_presences(&mut self, peer: &str, presences: Vec<Presence>) -> Vec<Presence> {
        let Some(link) = self.links.get_mut(peer) else {
            return Vec::new();
        };
        let tags: Set<u32> = presences.iter().map(|presence| presence.tag).collect();
        let mut before = std::mem::replace(&mut link.presences, presences);
        before.retain(|presence| !tags.contains(&presence.tag));
        before
    }

    /// Whom a node has heard of.
    pub fn presences(&self, peer: &str) -> &[Presence] {
        self.links.get(peer).map_or(&[], |link| &link.presences)
    }

    /// Whether a node is heard, over a link to it or through another one.
    pub fn is_reachable(&self, now: Instant, node: &str) -> bool {
        let tag = Presence::tag(node);
        let direct = self
            .links
            .get(node)
            .is_some_and(|link| self.is_fresh(now, link));
        let names = |link: &Link| link.presences.iter().any(|presence| presence.tag == tag);
        direct
            || self
                .links
                .values()
                .any(|link| self.is_fresh(now, link) && names(link))
    }

    fn is_fresh(&self, now: Instant, link: &Link) -> bool {
        let silence = self.settings.timeout;
        link.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < silence)
    }

    /// Whether a node is attached to this one, and whether this one passes on its work.
    pub fn attachment(&self, now: Instant, node: &str) -> Option<bool> {
        let link = self.links.get(node)?;
        (link.role.attached && self.is_fresh(now, link)).then_some(link.role.primary)
    }

    /// Of whom another node is told.
    fn scope_for(&self, now: Instant, peer: &str) -> Scope {
        if self.attachment(now, peer).is_some() {
            return Scope::Fleet;
        }
        match self.relay {
            true => Scope::Group,
            false => Scope::Own,
        }
    }

    /// What words to another node say of the link.
    pub fn role_for(&self, now: Instant, peer: &str) -> Role {
        let scope = self.scope_for(now, peer);
        Role {
            scope,
            attached: scope == Scope::Own && (self.alone || self.parents.contains(peer)),
            primary: self.primary.as_deref() == Some(peer),
        }
    }

    /// Whether the work that a node tells of is counted: a second relay tells of the same.
    pub fn accepts_reports(&self, peer: &str) -> bool {
        let Some(link) = self.links.get(peer) else {
            return false;
        };
        match link.role.scope {
            Scope::Own => link.role.primary || !link.role.attached,
            Scope::Group => self.relay,
            Scope::Fleet => self.primary.as_deref() == Some(peer),
        }
    }

    /// Whether a node's work is told in words of a scope.
    pub fn is_reported(&self, now: Instant, scope: Scope, node: &str) -> bool {
        match scope {
            Scope::Own => false,
            Scope::Group => self.attachment(now, node) == Some(true),
            Scope::Fleet => true,
        }
    }

    /// Nodes that words of a scope name: those heard directly, and for the whole fleet also those of
    /// the groups of other relays. What was heard of the whole fleet is never passed on, so that no
    /// word goes round.
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
                tags.extend(link.presences.iter().map(|presence| presence.tag));
            }
        }
        tags
    }

    /// What words say of their links, for all that are open.
    pub fn roles(&self, now: Instant) -> Set<Role> {
        let links = self.links.keys();
        links.map(|peer| self.role_for(now, peer)).collect()
    }

    /// Plans the links that this node is to have; gives those that are to be opened now. Nodes are taken in an order that all know: by capacity, then
    /// by a hash of the name. Those that can't be reached are passed over, and tried again.
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
        let chosen = self.choose(now, own, own_zone, per_zone, &mut plan);
        let ranked = chosen.iter().any(|member| member.node == own.node);
        let mut peers = self.links.keys();
        let relay = ranked || peers.any(|node| self.attachment(now, node).is_some());
        if relay {
            for zone in zones.into_values() {
                self.choose(now, own, zone, per_zone, &mut plan);
            }
        }
        if all == 1 {
            let seeds = seeds
                .iter()
                .copied()
                .filter(|seed| *seed != own.link_address);
            plan.open
                .extend(seeds.filter(|seed| self.is_due(now, *seed)));
        }
        self.alone = all == 1;
        self.relay = relay && !self.alone;
        let parents = chosen.iter().map(|member| member.node.clone());
        self.parents = match self.relay {
            true => Set::default(),
            false => parents.collect(),
        };
        self.primary = match relay {
            true => None,
            false => self.choose_primary(now, &chosen),
        };
        self.kept = plan.kept;
        plan.open
    }

    /// The first reachable nodes of a zone, in the common order; links to them, and to those before
    /// them that are to be tried again, go into the plan.
    fn choose<'a>(
        &self,
        now: Instant,
        own: &Member,
        mut zone: Vec<&'a Member>,
        most: usize,
        plan: &mut Plan,
    ) -> Vec<&'a Member> {
        let order = |member: &&Member| {
            let hash = stable_hash([ORDER_KEY, member.node.as_str()]);
            Reverse((member.capacity, hash))
        };
        zone.sort_by_cached_key(order);
        let mut chosen = Vec::new();
        for member in zone {
            if chosen.len() >= most {
                break;
            }
            if member.node == own.node {
                chosen.push(member);
                continue;
            }
            plan.kept.insert(member.node.clone());
            if !self.links.contains_key(&member.node) && self.is_due(now, member.link_address) {
                plan.open.push(member.link_address);
            }
            if self.is_usable(now, member) {
                chosen.push(member);
            }
        }
        chosen
    }

    fn choose_primary(&self, now: Instant, chosen: &[&Member]) -> Option<NodeName> {
        let heard = |node: &str| {
            let link = self.links.get(node);
            link.is_some_and(|link| self.is_fresh(now, link))
        };
        let known = self.primary.as_deref();
        let known = known.filter(|node| chosen.iter().any(|member| member.node == *node));
        let first = chosen.iter().map(|member| member.node.as_str());
        known
            .into_iter()
            .chain(first)
            .find(|node| heard(node))
            .map(str::to_owned)
    }

    /// Whether a link to an address may be opened now.
    fn is_due(&self, now: Instant, address: SocketAddrV4) -> bool {
        match self.reach.get(&address) {
            None => true,
            Some(Reach::Opening { .. }) => false,
            Some(Reach::Failed { next, .. }) => now >= *next,
        }
    }

    /// Whether a node is heard over a link, or a first one to it is being opened.
    fn is_usable(&self, now: Instant, member: &Member) -> bool {
        if let Some(link) = self.links.get(&member.node) {
            return self.is_fresh(now, link) || link.heard.is_none();
        }
        match self.reach.get(&member.link_address) {
            None => true,
            Some(Reach::Opening { since, pause }) => {
                *pause == self.settings.min_backoff
                    && now.saturating_duration_since(*since) < self.settings.dial_grace
            }
            Some(Reach::Failed { .. }) => false,
        }
    }
}
