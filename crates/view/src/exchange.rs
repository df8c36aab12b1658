//! What goes over links.

use crate::clock::{NEVER, age_ms, age_units, ago, units_ago};
use crate::member::{Member, State};
use crate::peer::Peer;
use crate::{Action, View, Voter, overlay};
use contract::{Config, Incarnation, NodeId, Object, Revision};
use std::time::{Duration, Instant};
use wire::{Beat, Delta, Entry, Fetch, Frame, Leave, Snapshot, Touch};

/// Members for each heartbeat interval between two touch frames, so that their bytes stay bounded.
const TOUCH_SHARE: usize = 256;
/// Wait for an answer before revisions are asked for again.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

impl View {
    /// A link to a node is up; `link` is the address on which that start of it accepts links.
    pub fn connect(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        link: &str,
        now: Instant,
    ) -> Vec<Action> {
        let peer = Peer::new(incarnation, link, now);
        self.peers.insert(node.to_owned(), peer);
        self.bury_former();
        self.beat(node, now).into_iter().collect()
    }

    /// The link to a node is down.
    pub fn disconnect(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Takes in a frame of the link to a node.
    pub fn receive(
        &mut self,
        from: &str,
        frame: &Frame,
        now: Instant,
    ) -> Result<Vec<Action>, contract::Error> {
        let Some(peer) = self.peers.get_mut(from) else {
            return Ok(Vec::new());
        };
        peer.heard = now;
        let bound = peer.bound;
        match frame {
            Frame::Beat(beat) => Ok(self.receive_beat(from, beat, now)),
            Frame::Proof(proof) => {
                peer.proof = bound.and_then(|bound| ago(bound, proof.age_ms));
                self.receive_proof(proof, bound);
                Ok(Vec::new())
            }
            Frame::Touch(touch) => {
                self.receive_touch(touch, bound);
                Ok(Vec::new())
            }
            Frame::Fetch(fetch) => Ok(self.answer(from, fetch.after)),
            Frame::Delta(delta) => self.receive_delta(from, delta, now),
            Frame::Snapshot(snapshot) => self.receive_snapshot(snapshot, now),
            Frame::Leave(leave) => {
                self.receive_leave(leave);
                Ok(Vec::new())
            }
            _ => Ok(Vec::new()),
        }
    }

    /// Does what is due at `now`: heartbeats, proofs, and replacing links that are silent.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.replace_silent(now);
        if !due(self.beaten, self.settings.heartbeat, now) {
            return actions;
        }
        self.beaten = Some(now);
        let share = self.membership.voters().len() / TOUCH_SHARE + 1;
        let touch_due = due(self.touched, self.settings.heartbeat * share as u32, now);
        let touch = touch_due.then(|| self.touch_frame(now));
        if touch_due {
            self.touched = Some(now);
        }
        for node in self.linked() {
            actions.extend(self.beat(&node, now));
            actions.extend(self.pass_proof(&node, now));
            actions.extend(touch.clone().map(|touch| Action::Send(node, touch)));
        }
        actions
    }

    /// Applies a revision that this node wrote or read itself, and sends it to its peers.
    pub fn publish(&mut self, delta: &Delta, now: Instant) -> Result<Vec<Action>, contract::Error> {
        if !self.apply(delta)? {
            return Ok(Vec::new());
        }
        let mut actions = Vec::new();
        for (node, peer) in &mut self.peers {
            if peer.revision < delta.revision {
                peer.revision = delta.revision;
                actions.push(Action::Send(node.clone(), Frame::Delta(delta.clone())));
            }
        }
        actions.extend(self.announce(now));
        Ok(actions)
    }

    /// Tells all peers which revision is applied: the acknowledgement, and what they may ask for.
    pub fn announce(&mut self, now: Instant) -> Vec<Action> {
        let nodes = self.linked();
        let beats = nodes.iter().filter_map(|node| self.beat(node, now));
        beats.collect()
    }

    /// Whether a linked node accepts links at this address.
    pub fn is_linked_at(&self, link: &str) -> bool {
        self.peers.values().any(|peer| peer.link == link)
    }

    /// Nodes with a link.
    pub(crate) fn linked(&self) -> Vec<NodeId> {
        self.peers.keys().cloned().collect()
    }

    /// Members with what is known of their life, and no others.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let member = |one: &contract::Member| Member {
            node: one.node.clone(),
            incarnation: one.incarnation,
            zone: one.zone.clone(),
            http: one.http.clone(),
            link: one.link.clone(),
            state: self.state(one, now),
        };
        self.config.members().map(member).collect()
    }

    /// Members that this node should call.
    pub fn neighbours(&self) -> Vec<&contract::Member> {
        overlay::neighbours(&self.me.node, self.config.members(), self.settings.fanout)
    }

    /// Whether the overlay needs the link to a node: one of the two should call the other. Until both
    /// are members every link is needed.
    pub fn needs_link(&self, node: &str) -> bool {
        if !self.joined() || self.incarnation(node).is_none() {
            return true;
        }
        let fanout = self.settings.fanout;
        let calls = |from: &str, to: &str| {
            let called = overlay::neighbours(from, self.config.members(), fanout);
            called.iter().any(|member| member.node == to)
        };
        calls(&self.me.node, node) || calls(node, &self.me.node)
    }

    /// Whether this node reads the head for its zone. Nodes that are no members yet read it for
    /// themselves, and so does each node once no proof arrives.
    pub fn is_reader(&self, now: Instant) -> bool {
        let overdue = |at: Instant| now.saturating_duration_since(at) > self.settings.horizon / 3;
        if !self.joined() || self.head_read_at.is_none_or(overdue) {
            return true;
        }
        let zone = &self.me.zone;
        let mine = overlay::rank(zone, &self.me.node);
        !self.config.members().any(|one| {
            one.zone == *zone
                && overlay::rank(zone, &one.node) > mine
                && self.state(one, now) == State::Live
        })
    }

    fn state(&self, member: &contract::Member, now: Instant) -> State {
        let voter = Voter {
            node: member.node.clone(),
            incarnation: member.incarnation,
        };
        if member.leaving || self.leaving.contains(&voter) {
            return State::Leaving;
        }
        if voter == self.voter() {
            return State::Live;
        }
        let within = |at: Instant, limit| now.saturating_duration_since(at) <= limit;
        let linked = self.peers.get(&member.node).is_some_and(|peer| {
            let is_heard = peer.has_spoken() && within(peer.heard, self.settings.silence_timeout);
            peer.incarnation == voter.incarnation && is_heard
        });
        let is_far = self.membership.voters().len() > self.settings.fanout + 1;
        let limit = match is_far {
            true => self.settings.horizon,
            false => self.settings.silence_timeout,
        };
        let heard = self.witnesses.of(&voter).at;
        match linked || heard.is_some_and(|at| within(at, limit)) {
            true => State::Live,
            false => State::Silent,
        }
    }

    fn beat(&mut self, node: &str, now: Instant) -> Option<Action> {
        let platform_age_ms = self.read.map(|at| age_ms(at, now));
        let revision = self.revision();
        let peer = self.peers.get_mut(node)?;
        self.sequence += 1;
        let beat = peer.beat(self.sequence, revision, platform_age_ms, now);
        Some(Action::Send(node.to_owned(), Frame::Beat(beat)))
    }

    fn receive_beat(&mut self, from: &str, beat: &Beat, now: Instant) -> Vec<Action> {
        let Some(peer) = self.peers.get_mut(from) else {
            return Vec::new();
        };
        let is_first = peer.hear(beat);
        let bound = peer.bound;
        let voter = Voter {
            node: from.to_owned(),
            incarnation: peer.incarnation,
        };
        self.witnesses.note(&voter, beat.revision, bound);
        self.settle();
        let mut actions = Vec::new();
        if is_first {
            actions.extend(self.beat(from, now));
        }
        if beat.revision > self.revision() {
            actions.extend(self.fetch(from, now));
        }
        actions
    }

    fn receive_delta(
        &mut self,
        from: &str,
        delta: &Delta,
        now: Instant,
    ) -> Result<Vec<Action>, contract::Error> {
        if self.apply(delta)? {
            return Ok(self.announce(now));
        }
        if delta.revision > self.revision() {
            return Ok(self.fetch(from, now).into_iter().collect());
        }
        Ok(Vec::new())
    }

    fn receive_snapshot(
        &mut self,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Result<Vec<Action>, contract::Error> {
        let read = |entry: &Entry| Object::read(&entry.key, entry.body.as_deref().unwrap_or(""));
        let objects = snapshot.entries.iter().map(read);
        let config = Config::new(snapshot.last.revision, objects.collect::<Result<_, _>>()?);
        if self.restore(config, snapshot.last.clone()) {
            return Ok(self.announce(now));
        }
        Ok(Vec::new())
    }

    fn receive_leave(&mut self, leave: &Leave) {
        self.leaving.insert(Voter {
            node: leave.node.clone(),
            incarnation: leave.incarnation,
        });
    }

    fn fetch(&mut self, from: &str, now: Instant) -> Option<Action> {
        if !due(self.fetched, FETCH_TIMEOUT, now) {
            return None;
        }
        self.fetched = Some(now);
        let after = self.revision();
        Some(Action::Send(from.to_owned(), Frame::Fetch(Fetch { after })))
    }

    fn answer(&self, to: &str, after: Revision) -> Vec<Action> {
        let send = |frame| Action::Send(to.to_owned(), frame);
        if let Some(deltas) = self.history.after(after) {
            return deltas.cloned().map(Frame::Delta).map(send).collect();
        }
        let Some(last) = self.history.last() else {
            return Vec::new();
        };
        let entry = |(key, object): (&String, &std::sync::Arc<Object>)| Entry {
            key: key.clone(),
            body: serde_json::to_string(object.as_ref()).ok(),
        };
        vec![send(Frame::Snapshot(Snapshot {
            entries: self.config.objects().map(entry).collect(),
            last: last.clone(),
        }))]
    }

    pub(crate) fn pass_proof(&mut self, node: &str, now: Instant) -> Option<Action> {
        let (at, proof) = (self.head_read_at?, self.proof(now)?);
        let peer = self.peers.get_mut(node)?;
        if peer.proof.is_some_and(|known| known >= at) {
            return None;
        }
        peer.proof = Some(at);
        Some(Action::Send(node.to_owned(), Frame::Proof(proof)))
    }

    fn touch_frame(&self, now: Instant) -> Frame {
        let voters = self.membership.voters();
        let me = self.voter();
        let (mut ages, mut lags) = (Vec::new(), Vec::new());
        for voter in voters {
            let evidence = self.witnesses.of(voter);
            let (at, revision) = match *voter == me {
                true => (Some(now), self.revision()),
                false => (evidence.at, evidence.revision),
            };
            // Nothing is said of a member that is ahead: whoever hears of it must ask first.
            let at = at.filter(|_| revision <= self.revision());
            ages.push(at.map_or(NEVER, |at| age_units(at, now)));
            let lag = self.revision().saturating_sub(revision);
            lags.push(u8::try_from(lag).unwrap_or(NEVER));
        }
        Frame::Touch(Touch {
            ages,
            lags,
            revision: self.revision(),
            voters: self.membership.digest(),
        })
    }

    fn receive_touch(&mut self, touch: &Touch, bound: Option<Instant>) {
        if touch.voters != self.membership.digest() {
            return;
        }
        let me = self.voter();
        let lists = touch.ages.iter().zip(&touch.lags);
        for (voter, (age, lag)) in self.membership.voters().iter().zip(lists) {
            if *voter == me || *age == NEVER || *lag == NEVER {
                continue;
            }
            let revision = touch.revision.saturating_sub(u64::from(*lag));
            let at = bound.and_then(|bound| units_ago(bound, *age));
            self.witnesses.note(voter, revision, at);
        }
        self.settle();
    }

    fn replace_silent(&mut self, now: Instant) -> Vec<Action> {
        let silence = self.settings.silence_timeout;
        let silent = |peer: &Peer| now.saturating_duration_since(peer.heard) > silence;
        let nodes = self.peers.iter().filter(|(_, peer)| silent(peer));
        let nodes: Vec<NodeId> = nodes.map(|(node, _)| node.clone()).collect();
        for node in &nodes {
            self.disconnect(node);
        }
        nodes.into_iter().map(Action::Reconnect).collect()
    }
}

fn due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
