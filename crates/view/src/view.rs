//! The state and how revisions are applied.

use crate::evidence::Witnesses;
use crate::history::History;
use crate::peer::Peer;
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
    /// Members before the newest revision, while that one changes members and isn't accepted.
    pub(crate) old: Option<Membership>,
    pub(crate) accepted: Revision,
    pub(crate) history: History,
    pub(crate) witnesses: Witnesses,
    pub(crate) terminated: Set<Voter>,
    pub(crate) leaving: Set<Voter>,
    pub(crate) peers: Map<NodeId, Peer>,
    /// Number of the last heartbeat, over all links.
    pub(crate) sequence: u64,
    /// No revision greater than the applied one existed at this time.
    pub(crate) head_read_at: Option<Instant>,
    /// A proof of a revision that isn't applied yet.
    pub(crate) awaited: Option<(Revision, Instant)>,
    /// When this node last read the head itself.
    pub(crate) read: Option<Instant>,
    /// When revisions were last asked for.
    pub(crate) fetched: Option<Instant>,
    pub(crate) beaten: Option<Instant>,
    pub(crate) touched: Option<Instant>,
}

impl View {
    /// Makes the view of a node that knows nothing yet.
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
            old: None,
            accepted: 0,
            history: History::default(),
            witnesses: Witnesses::default(),
            terminated: Set::default(),
            leaving: Set::default(),
            peers: Map::default(),
            sequence: 0,
            head_read_at: None,
            awaited: None,
            read: None,
            fetched: None,
            beaten: None,
            touched: None,
        }
    }

    /// The configuration as applied here.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The newest revision applied here.
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

    /// Whether this start of the node is a member.
    pub fn joined(&self) -> bool {
        self.membership.contains(&self.voter())
    }

    /// Applies the next revision. Says whether it was: older ones and ones after a gap aren't.
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
        self.advance(config, membership, delta.clone());
        Ok(true)
    }

    /// Applies a whole configuration, whose newest revision is `last`. Says whether it was newer.
    pub fn restore(&mut self, config: Config, last: Delta) -> bool {
        if config.revision() <= self.revision() || last.revision != config.revision() {
            return false;
        }
        let membership = Membership::of(&config);
        self.membership = Membership::before(&config, &last);
        self.old = None;
        self.history.restart(last.clone());
        self.advance(config, membership, last);
        true
    }

    fn advance(&mut self, config: Config, membership: Membership, delta: Delta) {
        debug_assert!(config.revision() > self.revision());
        let changed = membership != self.membership;
        if changed || self.old.is_some() {
            // Its writer knew that the revision before was accepted.
            self.accepted = self.accepted.max(delta.revision - 1);
        }
        self.old = changed.then(|| self.membership.clone());
        self.membership = membership;
        self.config = Arc::new(config);
        if self
            .history
            .last()
            .is_none_or(|last| last.revision < delta.revision)
        {
            self.history.push(delta);
        }
        self.fetched = None;
        self.redeem_awaited();
        self.forget_former();
        self.bury_former();
        self.settle();
    }

    /// Members that a change would replace, as they stand now.
    pub fn replaced_members(&self, entries: &[Entry]) -> Vec<Entry> {
        let stands = |entry: &Entry| match self.config.get(&entry.key)?.as_ref() {
            object @ Object::Member(_) => Some(Entry {
                key: entry.key.clone(),
                body: serde_json::to_string(object).ok(),
            }),
            _ => None,
        };
        entries.iter().filter_map(stands).collect()
    }

    /// Incarnation of a node that is a member.
    pub fn incarnation(&self, node: &str) -> Option<Incarnation> {
        let voters = self.membership.voters();
        let voter = voters.iter().find(|voter| voter.node == node)?;
        Some(voter.incarnation)
    }

    /// A member whose address a later start of the same node has bound has ended.
    pub(crate) fn bury_former(&mut self) {
        let has_ended = |member: &&Member| {
            self.peers.get(&member.node).is_some_and(|peer| {
                peer.incarnation > member.incarnation && peer.link == member.link
            })
        };
        let ended: Vec<Member> = self.config.members().filter(has_ended).cloned().collect();
        for member in ended {
            self.confirm_terminated(&member.node, member.incarnation);
        }
    }

    /// Drops evidence of starts that count no more and have no link.
    fn forget_former(&mut self) {
        let (now, old, peers) = (&self.membership, &self.old, &self.peers);
        let counts = |voter: &Voter| {
            now.contains(voter) || old.as_ref().is_some_and(|old| old.contains(voter))
        };
        let linked = |voter: &Voter| {
            peers
                .get(&voter.node)
                .is_some_and(|peer| peer.incarnation == voter.incarnation)
        };
        self.witnesses
            .retain(|voter| counts(voter) || linked(voter));
        self.terminated.retain(&counts);
        self.leaving.retain(|voter| counts(voter));
    }
}
