//! Who lives.

use super::Member;
use crate::NodeName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// When a member counts as alive.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time without a word after which a member isn't named to callers.
    pub silence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1300),
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    heard: Option<Instant>,
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
}

impl Members {
    /// Knows no other node.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
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
                    ready: false,
                    follows: false,
                    silent: true,
                };
                self.entries.insert(member.node, entry);
                true
            }
        }
    }

    /// Takes in a word from a member.
    pub fn hear(&mut self, now: Instant, node: &str, ready: bool, follows: bool) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.heard = Some(now);
            entry.ready = ready;
            entry.follows = follows;
            entry.silent = false;
        }
    }

    /// Members heard of of late that follow the store.
    pub fn following(&self, now: Instant) -> impl Iterator<Item = &str> {
        let silence = self.settings.silence;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.follows && entry.lives(now, silence))
            .map(|entry| entry.member.node.as_str())
    }

    /// Members that fell silent since the last call.
    pub fn take_silent(&mut self, now: Instant) -> Vec<NodeName> {
        let silence = self.settings.silence;
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
        let silence = self.settings.silence;
        self.entries
            .values()
            .filter(move |entry| entry.lives(now, silence))
            .map(|entry| &entry.member)
    }

    /// Members that take requests.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let silence = self.settings.silence;
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.ready && entry.lives(now, silence))
            .map(|entry| &entry.member)
    }
}

impl Entry {
    fn lives(&self, now: Instant, silence: Duration) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < silence)
    }
}
