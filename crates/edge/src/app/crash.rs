//! Crashes of backend servers, and what they say of the requests that were lost.

use super::{Loss, Notice, State};
use contract::stable_hash;
use limits::poison::{Admission, Block, Part, RequestTag};
use limits::suspect::Verdict;
use route::pool::{Work, name_hash};
use std::time::{Duration, Instant};

impl State {
    /// Records that a request lost its backend server, which may have crashed while running it.
    pub fn record_loss(&mut self, loss: Loss) {
        self.losses.record(loss);
    }

    /// Forgets the requests that a backend server just lost: this node's path had failed.
    pub fn drop_losses(&mut self, now: Instant, server: &str) {
        self.losses.take(now, server);
    }

    /// Records that a backend server has ended: the requests that just lost it become suspects.
    pub fn record_server_end(&mut self, now: Instant, server: &str) {
        for loss in self.losses.take(now, server) {
            let is_new = self
                .suspects
                .record_crash(now, &loss.fingerprint, server, Duration::ZERO);
            if is_new {
                let crash = (loss.fingerprint.clone(), server.to_owned());
                self.pending_notices.push(Notice::Crash(crash));
            }
            let start = format!("{server}@{}", loss.started_ms);
            let request = name_hash(&loss.fingerprint);
            let new = self.record_part_crash(now, loss.parts, request, &start);
            for part in &new {
                log::info!(event = 1792, part = part_id(*part).as_str(), server = server;
                    "backend server crashed before it began to answer a request with this prompt part");
            }
            if !new.is_empty() {
                let notice = Notice::PartCrash(new, request, start);
                self.pending_notices.push(notice);
            }
        }
    }

    /// Records that a backend server crashed before the answer to a request with these parts began, as
    /// observed here or reported by another node. Returns the parts for which that is new.
    pub fn record_part_crash(
        &mut self,
        now: Instant,
        parts: Vec<Part>,
        request: RequestTag,
        server: &str,
    ) -> Vec<Part> {
        let mut parts = self.poison.candidates(now, parts);
        parts.retain(|part| self.poison.record_crash(now, *part, request, server));
        // Parts that are blocked together with an earlier one need no decision of their own.
        let mut decided = Vec::new();
        for part in &parts {
            if decided.contains(part) {
                continue;
            }
            if let Some(block) = self.poison.try_block(now, *part) {
                decided.extend(&block.parts);
                self.announce_block(block);
            }
        }
        parts
    }

    /// Applies a block that another node reports. Returns the block if it is new, so that it is
    /// forwarded.
    pub fn record_part_block(&mut self, now: Instant, block: &Block) -> Option<Block> {
        let applied = self.poison.record_block(now, block)?;
        if applied == *block {
            return Some(applied);
        }
        // This node has narrowed the block down, so all nodes are notified, including the sender.
        self.announce_block(applied);
        None
    }

    fn announce_block(&mut self, block: Block) {
        let parts: Vec<_> = block.parts.iter().copied().map(part_id).collect();
        match parts.as_slice() {
            [part] => {
                log::warn!(event = 1793, part = part.as_str(), level = block.level;
                    "prompt part blocked: it crashes backend servers");
            }
            parts => {
                log::warn!(event = 1766, parts = parts.join(",").as_str(), level = block.level;
                    "requests with all of these prompt parts blocked: one of the parts crashes backend servers");
            }
        }
        self.pending_notices.push(Notice::PartBlock(block));
    }

    /// Records that the answer to a request has begun: none of its parts crashes backend servers.
    pub fn record_answer_begin(&mut self, now: Instant, work: &Work) {
        for part in work.shared_parts() {
            if self.poison.record_answer(now, part) {
                log::info!(event = 1767, part = part_id(part).as_str();
                    "an answer shows that a suspected prompt part doesn't crash backend servers");
                self.pending_notices.push(Notice::PartAnswer(part));
            }
        }
    }

    /// Whether a request may be sent, by the crashes that it or its parts have caused.
    pub fn admit(&mut self, now: Instant, fingerprint: &str, work: &Work) -> Admission {
        if let Verdict::Refused(left) = self.suspects.verdict(now, fingerprint) {
            return Admission::Blocked(left);
        }
        if self.poison.is_empty() {
            return Admission::Open;
        }
        let (own, members) = (self.node.as_str(), &self.members);
        let may_probe = |part: Part| {
            let key = part.to_string();
            let weight = |node: &str| stable_hash([key.as_str(), node]);
            let mut others = members.alive(now).map(|member| member.node.as_str());
            others.all(|node| weight(node) < weight(own))
        };
        self.poison.admit(now, work.shared_parts(), may_probe)
    }

    /// Takes the notices that haven't been sent to the other nodes.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.pending_notices)
    }
}

/// The hash of a prompt part, for logs.
fn part_id(part: Part) -> String {
    format!("{part:016x}")
}
