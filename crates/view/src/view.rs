//! State of the view and application of revisions.

use crate::history::History;
use crate::peer::Peer;
use crate::tracker::Tracker;
use crate::{Membership, Settings, Voter};
use contract::{Config, Incarnation, Map, Member, NodeId, Object, Revision, Set};
use std::sync::Arc;
use std::time::Instant;
use wire::{Delta, Entry};

/// A node's view of configuration and members.
#[derive(Debug)]
pub struct View {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) config: Arc<Config>,
    pub(crate) membership: Membership,
    /// Members before the newest revision, while that revision changes members and isn't accepted.
    pub(crate) previous: Option<Membership>,
    pub(crate) accepted: Revision,
    pub(crate) history: History,
    pub(crate) tracker: Tracker,
    pub(crate) terminated: Set<Voter>,
    pub(crate) leaving: Set<Voter>,
    pub(crate) peers: Map<NodeId, Peer>,
    /// Sequence number of the last heartbeat sent on any link.
    pub(crate) sequence: u64,
    /// Latest time at which no revision greater than the applied one is known to have existed.
    pub(crate) head_read_at: Option<Instant>,
    /// Revision and time of a proof whose revision isn't applied yet.
    pub(crate) pending_proof: Option<(Revision, Instant)>,
    /// Time of the latest head read by this node itself.
    pub(crate) own_head_read_at: Option<Instant>,
    /// Time of the last fetch; `None` once a revision has been applied since.
    pub(crate) last_fetch: Option<Instant>,
    pub(crate) last_heartbeat: Option<Instant>,
    pub(crate) last_touch: Option<Instant>,
}

impl View {
    /// Creates the view of a node that has applied no revision yet.
    ///
    /// ```
    /// let me = contract::Member {
    ///     node: "n1".into(), zone: "a".into(), incarnation: 1,
    ///     http: String::new(), link: String::new(), leaving: false,
    /// };
    /// let view = view::View::new(view::Settings::default(), me);
    /// assert!(view.may_start(std::time::Instant::now()).is_err());
    /// ```
    pub fn new(settings: Settings, me: Member) -> Self {
        Self {
            settings,
            me,
            config: Arc::default(),
            membership: Membership::default(),
            previous: None,
            accepted: 0,
            history: History::default(),
            tracker: Tracker::default(),
            terminated: Set::default(),
            leaving: Set::default(),
            peers: Map::default(),
            sequence: 0,
            head_read_at: None,
            pending_proof: None,
            own_head_read_at: None,
            last_fetch: None,
            last_heartbeat: None,
            last_touch: None,
        }
    }

    /// The configuration at the applied revision.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The newest revision applied by this node.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// This node as a voter.
    pub fn voter(&self) -> Voter {
        Voter {
            node: self.me.node.clone(),
            incarnation: self.me.incarnation,
        }
    }

    /// Whether this incarnation of the node is a member.
    pub fn joined(&self) -> bool {
        self.membership.contains(&self.voter())
    }

    /// Applies a revision if it directly follows the applied one. Returns whether it was applied.
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, contract::Error> {
        if delta.revision != self.revision() + 1 {
            return Ok(false);
        }
        let entries: Vec<_> = delta
            .entries
            .iter()
            .map(|entry| (entry.key.as_str(), entry.body.as_deref()))
            .collect();
        let mut config = Config::clone(&self.config);
        config.apply(delta.revision, &entries)?;
        let membership = Membership::of(&config);
        self.install(config, membership, delta.clone());
        Ok(true)
    }

    /// Replaces the configuration by a newer one, whose newest revision is `last`. Returns whether it
    /// was replaced.
    pub fn restore(&mut self, config: Config, last: Delta) -> bool {
        if config.revision() <= self.revision() || last.revision != config.revision() {
            return false;
        }
        let membership = Membership::of(&config);
        self.membership = Membership::before(&config, &last);
        self.previous = None;
        self.history.reset(last.clone());
        self.install(config, membership, last);
        true
    }

    fn install(&mut self, config: Config, membership: Membership, delta: Delta) {
        debug_assert!(config.revision() > self.revision());
        let changed = membership != self.membership;
        if changed || self.previous.is_some() {
            // The writer of this revision has checked that its predecessor was accepted.
            self.accepted = self.accepted.max(delta.revision - 1);
        }
        self.previous = changed.then(|| self.membership.clone());
        self.membership = membership;
        self.config = Arc::new(config);
        if self
            .history
            .last()
            .is_none_or(|last| last.revision < delta.revision)
        {
            self.history.push(delta);
        }
        self.last_fetch = None;
        self.apply_pending_proof();
        self.prune_former();
        self.detect_terminated();
        self.update_accepted();
    }

    /// Current entries of the members that a change would replace.
    pub fn replaced_members(&self, entries: &[Entry]) -> Vec<Entry> {
        let current = |entry: &Entry| match self.config.get(&entry.key)?.as_ref() {
            object @ Object::Member(_) => Some(Entry {
                key: entry.key.clone(),
                body: serde_json::to_string(object).ok(),
            }),
            _ => None,
        };
        entries.iter().filter_map(current).collect()
    }

    /// The incarnation under which a node is a member.
    pub fn incarnation(&self, node: &str) -> Option<Incarnation> {
        let voters = self.membership.voters();
        let voter = voters.iter().find(|voter| voter.node == node)?;
        Some(voter.incarnation)
    }

    /// Marks members as terminated whose address has been bound by a later incarnation of the same
    /// node.
    pub(crate) fn detect_terminated(&mut self) {
        let is_terminated = |member: &&Member| {
            self.peers.get(&member.node).is_some_and(|peer| {
                peer.incarnation > member.incarnation && peer.link == member.link
            })
        };
        let members = self.config.members().filter(is_terminated);
        let terminated: Vec<Member> = members.cloned().collect();
        for member in terminated {
            self.confirm_terminated(&member.node, member.incarnation);
        }
    }

    /// Discards the state of voters that are no longer members and have no link.
    fn prune_former(&mut self) {
        let (current, previous, peers) = (&self.membership, &self.previous, &self.peers);
        let counts = |voter: &Voter| {
            current.contains(voter)
                || previous
                    .as_ref()
                    .is_some_and(|previous| previous.contains(voter))
        };
        let linked = |voter: &Voter| {
            peers
                .get(&voter.node)
                .is_some_and(|peer| peer.incarnation == voter.incarnation)
        };
        self.tracker.retain(|voter| counts(voter) || linked(voter));
        self.terminated.retain(&counts);
        self.leaving.retain(|voter| counts(voter));
    }
}
