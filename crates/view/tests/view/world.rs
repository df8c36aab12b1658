//! Simulated nodes: a log, links that lose and delay frames, and a clock advanced by the test.

use contract::{Config, Member, Revision};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use view::{Action, Settings, View};
use wire::{Delta, Entry, Frame};

pub const HORIZON: Duration = Duration::from_secs(5);

/// One incarnation of a node. A terminated incarnation is never used again.
pub struct Node {
    pub view: View,
    pub paused: bool,
    pub reaches_platform: bool,
}

/// One step of a schedule. Node numbers are taken modulo the number of nodes.
#[derive(Clone, Debug)]
pub enum Step {
    Wait(u16),
    Deliver(u8, u8, u8),
    DeliverAll,
    TickAll,
    Poll(u8),
    Withdraw(u8, bool),
    Join(u8, bool),
    Remove(u8, u8),
    Pause(u8),
    Resume(u8),
    Restart(u8),
    Cut(u8, u8),
    Split(u8),
    Heal,
    Platform(u8, bool),
    Terminated(u8, u8),
}

/// The nodes, their links and the log.
pub struct World {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub log: Vec<Delta>,
    pub accepted_at: Vec<Instant>,
    terminated: Vec<(usize, u64)>,
    queues: BTreeMap<(usize, usize), VecDeque<Frame>>,
    cut: Vec<(usize, usize)>,
    starts: u64,
}

fn name(index: usize) -> String {
    format!("n{index}")
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        node: name(index),
        incarnation,
        zone: "a".into(),
        http: String::new(),
        link: String::new(),
        leaving: false,
    }
}

fn replay(log: &[Delta]) -> Config {
    let mut config = Config::default();
    for delta in log {
        let entries = delta.entries.iter();
        let entries = entries.map(|entry| (entry.key.as_str(), entry.body.as_deref()));
        config
            .apply(delta.revision, &entries.collect::<Vec<_>>())
            .unwrap();
    }
    config
}

impl World {
    /// Creates nodes that have all joined and exchanged heartbeats.
    pub fn new(count: usize) -> Self {
        let mut world = Self {
            // Far from the clock's epoch, so that subtracting any age can't underflow.
            now: Instant::now() + Duration::from_secs(3600),
            nodes: Vec::new(),
            log: Vec::new(),
            accepted_at: Vec::new(),
            terminated: Vec::new(),
            queues: BTreeMap::new(),
            cut: Vec::new(),
            starts: 0,
        };
        for index in 0..count {
            let node = world.start(index);
            world.nodes.push(node);
        }
        world.link_all();
        for index in 0..count {
            world.join(index, false);
            world.exchange();
        }
        assert_eq!(world.log.len(), count, "all nodes join");
        world
    }

    pub fn step(&mut self, step: &Step) {
        let count = self.nodes.len();
        let at = |number: u8| usize::from(number) % count;
        match *step {
            Step::Wait(ms) => self.now += Duration::from_millis(u64::from(ms)),
            Step::Deliver(from, to, frames) => self.deliver(at(from), at(to), frames.into()),
            Step::DeliverAll => self.deliver_all(),
            Step::TickAll => self.tick_all(),
            Step::Poll(node) => self.poll(at(node)),
            Step::Withdraw(node, lost) => self.withdraw(at(node), lost),
            Step::Join(node, lost) => self.join(at(node), lost),
            Step::Remove(node, victim) => self.remove(at(node), at(victim)),
            Step::Pause(node) => self.nodes[at(node)].paused = true,
            Step::Resume(node) => self.nodes[at(node)].paused = false,
            Step::Restart(node) => self.restart(at(node)),
            Step::Cut(a, b) => self.cut(at(a), at(b)),
            Step::Split(mask) => self.split(mask),
            Step::Heal => {
                self.cut.clear();
                self.link_all();
            }
            Step::Platform(node, up) => self.nodes[at(node)].reaches_platform = up,
            Step::Terminated(observer, node) => self.observe_terminated(at(observer), at(node)),
        }
        self.record_accepted();
    }

    /// Checks the invariants: no accepted revision is reverted, and no node starts work on a revision
    /// whose successor was accepted longer ago than the horizon.
    pub fn check(&self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate() {
            let applied = node.view.revision();
            let superseded_at = self.accepted_at.get(applied as usize);
            let is_stale = superseded_at.is_some_and(|at| self.now > *at + HORIZON);
            if is_stale && !node.paused && node.view.may_start(self.now).is_ok() {
                return Err(format!("n{index} starts work on revision {applied}"));
            }
            if !self.matches_log(&node.view) {
                return Err(format!(
                    "n{index} differs from the log at revision {applied}"
                ));
            }
        }
        Ok(())
    }

    fn matches_log(&self, view: &View) -> bool {
        let config = replay(&self.log[..view.revision() as usize]);
        let keys = |config: &Config| {
            config
                .objects()
                .map(|(k, o)| (k.clone(), o.clone()))
                .collect::<Vec<_>>()
        };
        keys(&config) == keys(view.config())
    }

    fn start(&mut self, index: usize) -> Node {
        self.starts += 1;
        let settings = Settings {
            horizon: HORIZON,
            ..Settings::default()
        };
        Node {
            view: View::new(settings, member(index, self.starts)),
            paused: false,
            reaches_platform: true,
        }
    }

    fn record_accepted(&mut self) {
        let views = self.nodes.iter().map(|node| node.view.accepted());
        let accepted = views.max().unwrap_or(0);
        while (self.accepted_at.len() as Revision) < accepted {
            self.accepted_at.push(self.now);
        }
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(to, frame) = action else {
                continue;
            };
            let to = to[1..].parse().unwrap();
            if let Some(queue) = self.queues.get_mut(&(from, to)) {
                queue.push_back(frame);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, frames: usize) {
        for _ in 0..frames {
            if self.nodes[to].paused {
                return;
            }
            let queue = self.queues.get_mut(&(from, to));
            let Some(frame) = queue.and_then(VecDeque::pop_front) else {
                return;
            };
            let actions = self.nodes[to]
                .view
                .receive(&name(from), &frame, self.now)
                .unwrap();
            self.apply_actions(to, actions);
            self.record_accepted();
        }
    }

    fn deliver_all(&mut self) {
        let links: Vec<_> = self.queues.keys().copied().collect();
        links
            .into_iter()
            .for_each(|(from, to)| self.deliver(from, to, 16));
    }

    fn tick_all(&mut self) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].paused {
                let actions = self.nodes[index].view.tick(self.now);
                self.apply_actions(index, actions);
            }
        }
    }

    /// Runs a few rounds of heartbeats with all frames delivered.
    pub fn exchange(&mut self) {
        for _ in 0..6 {
            self.now += Duration::from_millis(300);
            self.tick_all();
            self.deliver_all();
            self.deliver_all();
            self.record_accepted();
        }
    }

    pub fn poll(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.paused || !node.reaches_platform {
            return;
        }
        if let (0, Some(last)) = (node.view.revision(), self.log.last()) {
            node.view.restore(replay(&self.log), last.clone());
        }
        let after = node.view.revision() as usize;
        let missing = self.log[after..].to_vec();
        let mut actions = Vec::new();
        for delta in &missing {
            actions.extend(node.view.publish(delta, self.now).unwrap());
        }
        actions.extend(
            node.view
                .record_head_read(self.log.len() as Revision, self.now, self.now),
        );
        self.apply_actions(index, actions);
    }

    pub fn write(&mut self, index: usize, entry: Entry, lost: bool) {
        self.poll(index);
        let node = &mut self.nodes[index];
        let is_cut_off = node.paused || !node.reaches_platform;
        let entries = vec![entry];
        if is_cut_off || node.view.may_propose(&entries).is_err() {
            return;
        }
        let delta = Delta {
            change: format!("c{}", self.log.len()),
            replaced: node.view.replaced_members(&entries),
            entries,
            revision: node.view.revision() + 1,
        };
        self.log.push(delta.clone());
        if !lost {
            let actions = node.view.publish(&delta, self.now).unwrap();
            self.apply_actions(index, actions);
        }
    }

    pub fn withdraw(&mut self, index: usize, lost: bool) {
        let version = self.log.len();
        let body = format!(r#"{{"withdrawal":{{"model":"m","version":"{version}"}}}}"#);
        let entry = Entry {
            key: format!("withdrawal/m@{version}"),
            body: Some(body),
        };
        self.write(index, entry, lost);
    }

    pub fn join(&mut self, index: usize, lost: bool) {
        if self.nodes[index].view.joined() {
            return;
        }
        let incarnation = self.nodes[index].view.voter().incarnation;
        let object = contract::Object::Member(member(index, incarnation));
        let entry = Entry {
            key: object.key(),
            body: serde_json::to_string(&object).ok(),
        };
        self.write(index, entry, lost);
    }

    pub fn remove(&mut self, index: usize, victim: usize) {
        let entry = Entry {
            key: format!("member/{}", name(victim)),
            body: None,
        };
        if self.nodes[index].view.incarnation(&name(victim)).is_some() {
            self.write(index, entry, false);
        }
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].view.voter().incarnation;
        self.terminated.push((index, incarnation));
        let reaches_platform = self.nodes[index].reaches_platform;
        self.nodes[index] = self.start(index);
        self.nodes[index].reaches_platform = reaches_platform;
        for other in 0..self.nodes.len() {
            self.unlink(index, other);
        }
        self.link_all();
    }

    fn observe_terminated(&mut self, observer: usize, node: usize) {
        let terminated = self.terminated.iter().filter(|(index, _)| *index == node);
        for (_, incarnation) in terminated {
            self.nodes[observer]
                .view
                .confirm_terminated(&name(node), *incarnation);
        }
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
        self.unlink(a, b);
    }

    pub fn split(&mut self, mask: u8) {
        let side = |index: usize| mask >> (index % 8) & 1;
        for a in 0..self.nodes.len() {
            for b in 0..a {
                if side(a) != side(b) {
                    self.cut(a, b);
                }
            }
        }
    }

    fn unlink(&mut self, a: usize, b: usize) {
        if self.queues.remove(&(a, b)).is_some() {
            self.queues.remove(&(b, a));
            self.nodes[a].view.disconnect(&name(b));
            self.nodes[b].view.disconnect(&name(a));
        }
    }

    fn link_all(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..a {
                if !self.queues.contains_key(&(a, b)) && !self.cut.contains(&(a, b)) {
                    self.link(a, b);
                }
            }
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        self.queues.insert((a, b), VecDeque::new());
        self.queues.insert((b, a), VecDeque::new());
        for (from, to) in [(a, b), (b, a)] {
            let incarnation = self.nodes[to].view.voter().incarnation;
            let view = &mut self.nodes[from].view;
            let actions = view.connect(&name(to), incarnation, "", self.now);
            self.apply_actions(from, actions);
        }
    }
}
