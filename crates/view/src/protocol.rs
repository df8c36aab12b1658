//! Frames exchanged over links, and the state of members that follows from them.

use crate::clock::{NEVER, age_ms, age_units, ago, units_ago};
use crate::member::{Member, State};
use crate::peer::Peer;
use crate::{Action, View, Voter, overlay};
use contract::{Config, Incarnation, NodeId, Object, Revision};
use std::time::{Duration, Instant};
use wire::{Beat, Delta, Entry, Fetch, Frame, Leave, Snapshot, Touch};

/// Touch frames grow with the number of members, so their interval is extended by one heartbeat
/// interval per this many members to bound the bytes sent.
const MEMBERS_PER_TOUCH_INTERVAL: usize = 256;
/// Time to wait for the response to a fetch before sending another.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

impl View {
    /// Handles a new link to a node; `link` is the address on which that incarnation accepts links.
    pub fn connect(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        link: &str,
        now: Instant,
    ) -> Vec<Action> {
        let peer = Peer::new(incarnation, link, now);
        self.peers.insert(node.to_owned(), peer);
        self.detect_terminated();
        self.heartbeat(node, now).into_iter().collect()
    }

    /// Handles the loss of the link to a node.
    pub fn disconnect(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Handles a frame received over the link to a node.
    pub fn receive(
        &mut self,
        from: &str,
        frame: &Frame,
        now: Instant,
    ) -> Result<Vec<Action>, contract::Error> {
        let Some(peer) = self.peers.get_mut(from) else {
            return Ok(Vec::new());
        };
        peer.last_received = now;
        let sent_after = peer.sent_after;
        match frame {
            Frame::Beat(beat) => Ok(self.receive_beat(from, beat, now)),
            Frame::Proof(proof) => {
                peer.proof_time = sent_after.and_then(|sent_after| ago(sent_after, proof.age_ms));
                self.receive_proof(proof, sent_after);
                Ok(Vec::new())
            }
            Frame::Touch(touch) => {
                self.receive_touch(touch, sent_after);
                Ok(Vec::new())
            }
            Frame::Fetch(fetch) => Ok(self.answer_fetch(from, fetch.after)),
            Frame::Delta(delta) => self.receive_delta(from, delta, now),
            Frame::Snapshot(snapshot) => self.receive_snapshot(snapshot, now),
            Frame::Leave(leave) => {
                self.receive_leave(leave);
                Ok(Vec::new())
            }
            _ => Ok(Vec::new()),
        }
    }

    /// Performs periodic work: sends heartbeats, proofs and touch frames, and replaces unresponsive
    /// links.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.replace_unresponsive(now);
        if !is_due(self.last_heartbeat, self.settings.heartbeat, now) {
            return actions;
        }
        self.last_heartbeat = Some(now);
        let touch_beats = self.membership.voters().len() / MEMBERS_PER_TOUCH_INTERVAL + 1;
        let touch_interval = self.settings.heartbeat * touch_beats as u32;
        let touch_due = is_due(self.last_touch, touch_interval, now);
        let touch = touch_due.then(|| self.touch_frame(now));
        if touch_due {
            self.last_touch = Some(now);
        }
        for node in self.linked() {
            actions.extend(self.heartbeat(&node, now));
            actions.extend(self.forward_proof(&node, now));
            actions.extend(touch.clone().map(|touch| Action::Send(node, touch)));
        }
        actions
    }

    /// Applies a revision that this node wrote or read from the platform, and sends it to its peers.
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

    /// Sends the applied revision to all peers. It serves as the acknowledgement, and tells peers
    /// that lag behind what to fetch.
    pub fn announce(&mut self, now: Instant) -> Vec<Action> {
        let nodes = self.linked();
        let beats = nodes.iter().filter_map(|node| self.heartbeat(node, now));
        beats.collect()
    }

    /// Whether a linked node accepts links on this address.
    pub fn is_linked_at(&self, link: &str) -> bool {
        self.peers.values().any(|peer| peer.link == link)
    }

    /// Nodes to which a link is open.
    pub(crate) fn linked(&self) -> Vec<NodeId> {
        self.peers.keys().cloned().collect()
    }

    /// All members with their state.
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

    /// Members that this node should connect to.
    pub fn neighbours(&self) -> Vec<&contract::Member> {
        overlay::neighbours(&self.me.node, self.config.members(), self.settings.fanout)
    }

    /// Whether the overlay needs the link to a node, because one of the two should connect to the
    /// other. Every link is needed until both are members.
    pub fn needs_link(&self, node: &str) -> bool {
        if !self.joined() || self.incarnation(node).is_none() {
            return true;
        }
        let fanout = self.settings.fanout;
        let connects = |from: &str, to: &str| {
            let targets = overlay::neighbours(from, self.config.members(), fanout);
            targets.iter().any(|member| member.node == to)
        };
        connects(&self.me.node, node) || connects(node, &self.me.node)
    }

    /// Whether this node should read the head for its zone. A node that is not a member yet reads the
    /// head itself, and so does any node that has received no proof for a third of the horizon.
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
            let is_responsive =
                peer.has_received() && within(peer.last_received, self.settings.silence_timeout);
            peer.incarnation == voter.incarnation && is_responsive
        });
        // Without a full mesh, news of a member arrives over several hops, so it is allowed more time.
        let is_multi_hop = self.membership.voters().len() > self.settings.fanout + 1;
        let limit = match is_multi_hop {
            true => self.settings.horizon,
            false => self.settings.silence_timeout,
        };
        let alive_at = self.tracker.get(&voter).alive_at;
        match linked || alive_at.is_some_and(|at| within(at, limit)) {
            true => State::Live,
            false => State::Silent,
        }
    }

    fn heartbeat(&mut self, node: &str, now: Instant) -> Option<Action> {
        let platform_age_ms = self.own_head_read_at.map(|at| age_ms(at, now));
        let revision = self.revision();
        let peer = self.peers.get_mut(node)?;
        self.sequence += 1;
        let beat = peer.heartbeat(self.sequence, revision, platform_age_ms, now);
        Some(Action::Send(node.to_owned(), Frame::Beat(beat)))
    }

    fn receive_beat(&mut self, from: &str, beat: &Beat, now: Instant) -> Vec<Action> {
        let Some(peer) = self.peers.get_mut(from) else {
            return Vec::new();
        };
        let is_first = peer.receive(beat);
        let sent_after = peer.sent_after;
        let voter = Voter {
            node: from.to_owned(),
            incarnation: peer.incarnation,
        };
        self.tracker.record(&voter, beat.revision, sent_after);
        self.update_accepted();
        let mut actions = Vec::new();
        if is_first {
            actions.extend(self.heartbeat(from, now));
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
        if !is_due(self.last_fetch, FETCH_TIMEOUT, now) {
            return None;
        }
        self.last_fetch = Some(now);
        let after = self.revision();
        Some(Action::Send(from.to_owned(), Frame::Fetch(Fetch { after })))
    }

    fn answer_fetch(&self, to: &str, after: Revision) -> Vec<Action> {
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

    pub(crate) fn forward_proof(&mut self, node: &str, now: Instant) -> Option<Action> {
        let (at, proof) = (self.head_read_at?, self.proof(now)?);
        let peer = self.peers.get_mut(node)?;
        if peer.proof_time.is_some_and(|known| known >= at) {
            return None;
        }
        peer.proof_time = Some(at);
        Some(Action::Send(node.to_owned(), Frame::Proof(proof)))
    }

    fn touch_frame(&self, now: Instant) -> Frame {
        let voters = self.membership.voters();
        let me = self.voter();
        let (mut ages, mut lags) = (Vec::new(), Vec::new());
        for voter in voters {
            let progress = self.tracker.get(voter);
            let (at, revision) = match *voter == me {
                true => (Some(now), self.revision()),
                false => (progress.alive_at, progress.revision),
            };
            // A member that is ahead is reported as never seen: the receiver has to learn of the newer
            // revision before it can count that member.
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

    fn receive_touch(&mut self, touch: &Touch, sent_after: Option<Instant>) {
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
            let at = sent_after.and_then(|sent_after| units_ago(sent_after, *age));
            self.tracker.record(voter, revision, at);
        }
        self.update_accepted();
    }

    fn replace_unresponsive(&mut self, now: Instant) -> Vec<Action> {
        let timeout = self.settings.silence_timeout;
        let is_unresponsive =
            |peer: &Peer| now.saturating_duration_since(peer.last_received) > timeout;
        let nodes = self.peers.iter().filter(|(_, peer)| is_unresponsive(peer));
        let nodes: Vec<NodeId> = nodes.map(|(node, _)| node.clone()).collect();
        for node in &nodes {
            self.disconnect(node);
        }
        nodes.into_iter().map(Action::Reconnect).collect()
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
