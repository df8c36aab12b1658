//! Crashes of backend servers, and what they say of the requests that were lost.

use super::{Loss, Notice, State};
use contract::stable_hash;
use limits::poison::{Admission, Part, RequestTag};
use limits::suspect::Verdict;
use route::pool::{Work, name_hash};
use std::time::{Duration, Instant};

impl State {
    /// Records that a request lost its backend server, which may have crashed while running it.
    pub fn record_loss(&mut self, loss: Loss) {
        self.losses.record(loss);
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
            for part in self.poison.candidates(now, loss.parts) {
                if self.poison.record_crash(now, part, request, &start) {
                    log::info!(event = 1792, part = format!("{part:016x}").as_str(), server = server;
                        "backend server crashed before it began to answer a request with this prompt part");
                    let notice = Notice::PartCrash(part, request, start.clone());
                    self.pending_notices.push(notice);
                }
                self.try_block(now, part);
            }
        }
    }

    /// Records a crash on a part that another node reports; returns whether it is new.
    pub fn record_part_crash(
        &mut self,
        now: Instant,
        part: Part,
        request: RequestTag,
        server: &str,
    ) -> bool {
        let is_new = self.poison.record_crash(now, part, request, server);
        if is_new {
            self.try_block(now, part);
        }
        is_new
    }

    fn try_block(&mut self, now: Instant, part: Part) {
        if let Some(level) = self.poison.try_block(now, part) {
            log::warn!(event = 1793, part = format!("{part:016x}").as_str(), level = level;
                "prompt part blocked: it crashes backend servers");
            self.pending_notices.push(Notice::PartBlock(part, level));
        }
    }

    /// Records that the answer to a request has begun: none of its parts crashes backend servers.
    pub fn record_answer_begin(&mut self, now: Instant, work: &Work) {
        for part in work.shared_parts() {
            if self.poison.record_answer(now, part) {
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
