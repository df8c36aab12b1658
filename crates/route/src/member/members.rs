//! Who lives.

use super::Member;
use crate::NodeName;
use crate::relay::Presence;
use contract::Map;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// When a member counts as alive.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time without a word after which a member isn't named to callers.
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
    heard: Option<Instant>,
    /// When a word of its own last came.
    direct: Option<Instant>,
    ready: bool,
    /// Whether it follows the store and the store answers it.
    follows: bool,
    /// Whether its silence has been told.
    silent: bool,
}

/// The other nodes of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Members {
    settings: Settings,
    entries: BTreeMap<NodeName, Entry>,
    /// Names by their short form.
    tags: Map<u32, NodeName>,
}

impl Members {
    /// Knows no other node.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes in that there is a member; true when that is news.
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
                    heard: None,
                    direct: None,
                    ready: false,
                    follows: false,
                    silent: true,
                };
                let tag = Presence::tag(&member.node);
                self.tags.insert(tag, member.node.clone());
                self.entries.insert(member.node, entry);
                true
            }
        }
    }

    /// Takes in a word from a member; true when it says something new.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        node: &str,
        ready: bool,
        follows: bool,
    ) -> bool {
        let silence = self.settings.timeout;
        let Some(entry) = self.entries.get_mut(node) else {
            return false;
        };
        entry.direct = Some(now);
        entry.hear(now, silence, ready, follows)
    }

    /// Takes in what another member has heard of members; true when some of it is new. What a member
    /// says of itself goes before: others may have heard it earlier.
    pub fn merge_presences(&mut self, now: Instant, presences: &[Presence]) -> bool {
        let silence = self.settings.timeout;
        let mut news = false;
        for presence in presences {
            let node = self.tags.get(&presence.tag);
            let Some(entry) = node.and_then(|node| self.entries.get_mut(node)) else {
                continue;
            };
            if !entry.is_direct(now, silence) {
                news |= entry.hear(now, silence, presence.ready, presence.follows_store);
            }
        }
        news
    }

    /// Takes in that a member isn't heard any more.
    pub fn mark_lost(&mut self, node: &str) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.heard = None;
            entry.direct = None;
        }
    }

    /// The name of a member, by its short form.
    pub fn by_tag(&self, tag: u32) -> Option<&NodeName> {
        self.tags.get(&tag)
    }

    /// What is known of these members that live.
    pub fn presences(&self, now: Instant, tags: impl IntoIterator<Item = u32>) -> Vec<Presence> {
        let silence = self.settings.timeout;
        let mut presences: Vec<_> = tags
            .into_iter()
            .filter_map(|tag| {
                let entry = self.entries.get(self.tags.get(&tag)?)?;
                entry.lives(now, silence).then_some(Presence {
                    tag,
                    ready: entry.ready,
                    follows_store: entry.follows,
                })
            })
            .collect();
        presences.sort_unstable();
        presences
    }

    /// Members heard of of late that follow the store.
    pub fn store_followers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let silence = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.follows && entry.lives(now, silence))
            .map(|entry| entry.member.node.as_str())
    }

    /// Members that fell silent since the last call.
    pub fn take_expired(&mut self, now: Instant) -> Vec<NodeName> {
        let silence = self.settings.timeout;
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| !entry.silent && !entry.lives(now, silence))
            .map(|entry| {
                entry.silent = true;
                entry.member.node.clone()
            })
            .collect()
    }

    /// All known members, alive or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Members heard of of late.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let silence = self.settings.timeout;
        self.entries
            .values()
            .filter(move |entry| entry.lives(now, silence))
            .map(|entry| &entry.member)
    }

    /// Members that take requests.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let silence = self.settings.timeout;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.ready && entry.lives(now, silence))
            .map(|entry| &entry.member)
    }
}

impl Entry {
    fn hear(&mut self, now: Instant, silence: Duration, ready: bool, follows: bool) -> bool {
        let known = self.lives(now, silence) && self.ready == ready && self.follows == follows;
        self.heard = Some(now);
        self.ready = ready;
        self.follows = follows;
        self.silent = false;
        !known
    }

    fn is_direct(&self, now: Instant, silence: Duration) -> bool {
        self.direct
            .is_some_and(|heard| now.saturating_duration_since(heard) < silence)
    }

    fn lives(&self, now: Instant, silence: Duration) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < silence)
    }
}
