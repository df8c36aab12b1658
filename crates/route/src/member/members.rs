//! Liveness of the other nodes.

use super::Member;
use crate::NodeName;
use crate::relay::Presence;
use contract::Map;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Settings of the failure detector.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time without a heartbeat after which a member counts as dead and isn't given to callers.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(1300),
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When the member was last reported alive, by itself or by another node.
    last_seen: Option<Instant>,
    /// When its own last heartbeat arrived.
    last_heartbeat: Option<Instant>,
    ready: bool,
    /// Whether it follows the store and the store responds to it.
    follows_store: bool,
    /// Whether it reaches backend servers itself.
    reaches_servers: bool,
    /// Whether it names the era of the store with the changes that it knows.
    names_era: bool,
    /// Whether `take_expired` has returned it since it was last alive.
    expiry_reported: bool,
}

/// The other nodes of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Members {
    settings: Settings,
    entries: BTreeMap<NodeName, Entry>,
    /// Names by tag.
    tags: Map<u32, NodeName>,
}

impl Members {
    /// Creates an empty membership.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds or updates a member; returns whether anything changed.
    pub fn add(&mut self, member: Member) -> bool {
        match self.entries.get_mut(&member.node) {
            Some(entry) if entry.member == member => false,
            Some(entry) => {
                entry.member = member;
                true
            }
            None => {
                let entry = Entry {
                    member: member.clone(),
                    last_seen: None,
                    last_heartbeat: None,
                    ready: false,
                    follows_store: false,
                    reaches_servers: true,
                    names_era: true,
                    expiry_reported: true,
                };
                let tag = Presence::tag(&member.node);
                self.tags.insert(tag, member.node.clone());
                self.entries.insert(member.node, entry);
                true
            }
        }
    }

    /// Records a heartbeat of a member, with the state that it reports of itself; returns whether its
    /// state changed.
    pub fn record_heartbeat(&mut self, now: Instant, node: &str, state: Presence) -> bool {
        let timeout = self.settings.timeout;
        let Some(entry) = self.entries.get_mut(node) else {
            return false;
        };
        entry.last_heartbeat = Some(now);
        entry.record(now, timeout, state)
    }

    /// Merges what another node reports about members; returns whether any state changed. A recent
    /// heartbeat of the member itself takes precedence, because the report may be older. A reporter that
    /// names no era doesn't say which other nodes do, and passes on no changes with an era.
    pub fn merge_presences(
        &mut self,
        now: Instant,
        reporter: &str,
        presences: &[Presence],
    ) -> bool {
        let timeout = self.settings.timeout;
        let reporter = self.entries.get(reporter);
        let names_era = reporter.is_none_or(|reporter| reporter.names_era);
        let mut changed = false;
        for presence in presences {
            let node = self.tags.get(&presence.tag);
            let Some(entry) = node.and_then(|node| self.entries.get_mut(node)) else {
                continue;
            };
            if !entry.has_recent_heartbeat(now, timeout) {
                let state = Presence {
                    names_era: presence.names_era && names_era,
                    ..*presence
                };
                changed |= entry.record(now, timeout, state);
            }
        }
        changed
    }

    /// Marks a member as dead until it is reported alive again.
    pub fn mark_lost(&mut self, node: &str) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.last_seen = None;
            entry.last_heartbeat = None;
        }
    }

    /// Returns the name of the member with this tag.
    pub fn by_tag(&self, tag: u32) -> Option<&NodeName> {
        self.tags.get(&tag)
    }

    /// Returns the state of those members with these tags that are alive.
    pub fn presences(&self, now: Instant, tags: impl IntoIterator<Item = u32>) -> Vec<Presence> {
        let timeout = self.settings.timeout;
        let mut presences: Vec<_> = tags
            .into_iter()
            .filter_map(|tag| {
                let entry = self.entries.get(self.tags.get(&tag)?)?;
                entry.is_alive(now, timeout).then_some(Presence {
                    tag,
                    ready: entry.ready,
                    follows_store: entry.follows_store,
                    reaches_servers: entry.reaches_servers,
                    names_era: entry.names_era,
                })
            })
            .collect();
        presences.sort_unstable();
        presences
    }

    /// Returns the names of live members that follow the store; with `needs_era`, only of those that name
    /// its era.
    pub fn store_followers(&self, now: Instant, needs_era: bool) -> impl Iterator<Item = &str> {
        let timeout = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.follows_store && entry.is_alive(now, timeout))
            .filter(move |entry| entry.names_era || !needs_era)
            .map(|entry| entry.member.node.as_str())
    }

    /// Returns the members that have died since the last call.
    pub fn take_expired(&mut self, now: Instant) -> Vec<NodeName> {
        let timeout = self.settings.timeout;
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| !entry.expiry_reported && !entry.is_alive(now, timeout))
            .map(|entry| {
                entry.expiry_reported = true;
                entry.member.node.clone()
            })
            .collect()
    }

    /// Returns all known members, alive or dead.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns the live members.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let timeout = self.settings.timeout;
        self.entries
            .values()
            .filter(move |entry| entry.is_alive(now, timeout))
            .map(|entry| &entry.member)
    }

    /// Returns the live members that name the era of the store.
    pub fn naming_era(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let timeout = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.names_era && entry.is_alive(now, timeout))
            .map(|entry| &entry.member)
    }

    /// Returns the live members that accept requests.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let timeout = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.ready && entry.is_alive(now, timeout))
            .map(|entry| &entry.member)
    }

    /// Returns the live members that accept requests and reach backend servers themselves.
    pub fn reaching(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let timeout = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| {
                entry.ready && entry.reaches_servers && entry.is_alive(now, timeout)
            })
            .map(|entry| &entry.member)
    }
}

impl Entry {
    fn record(&mut self, now: Instant, timeout: Duration, state: Presence) -> bool {
        let unchanged = self.is_alive(now, timeout)
            && self.ready == state.ready
            && self.follows_store == state.follows_store
            && self.reaches_servers == state.reaches_servers
            && self.names_era == state.names_era;
        self.last_seen = Some(now);
        self.ready = state.ready;
        self.follows_store = state.follows_store;
        self.reaches_servers = state.reaches_servers;
        self.names_era = state.names_era;
        self.expiry_reported = false;
        !unchanged
    }

    fn has_recent_heartbeat(&self, now: Instant, timeout: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) < timeout)
    }

    fn is_alive(&self, now: Instant, timeout: Duration) -> bool {
        self.last_seen
            .is_some_and(|at| now.saturating_duration_since(at) < timeout)
    }
}
