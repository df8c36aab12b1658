//! One roll-out under way.

use super::{Settings, Side, Spec, Status, Tally};
use crate::NodeName;
use contract::Map;
use std::time::{Duration, Instant};

/// One roll-out under way. All nodes judge alike from what they and the others have seen; a node
/// stops sending to a bad version by itself, whoever writes down the outcome.
#[derive(Clone, Debug)]
pub struct Trial {
    /// What the operator asks for.
    pub spec: Spec,
    settings: Settings,
    since: Instant,
    outcome: Status,
    own: Tally,
    others: Map<NodeName, Tally>,
}

impl Trial {
    /// A roll-out of which this node has just learnt.
    ///
    /// ```
    /// use route::rollout::{Order, Outcome, Settings, Trial};
    /// let order = Order { service: "s".into(), to: "v2".into(), time: std::time::Duration::from_secs(12) };
    /// let trial = Trial::new(order, Settings::default(), std::time::Instant::now());
    /// assert_eq!(trial.outcome(), Outcome::Running);
    /// ```
    pub fn new(order: Spec, settings: Settings, now: Instant) -> Self {
        Self {
            spec: order,
            settings,
            since: now,
            outcome: Status::Running,
            own: Tally::default(),
            others: Map::default(),
        }
    }

    /// How it stands.
    pub fn status(&self) -> Status {
        self.outcome
    }

    /// Time since the order, as far as this node knows.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Takes in how long another node has known the order.
    pub fn merge_age(&mut self, now: Instant, age: Duration) {
        if let Some(since) = now.checked_sub(age) {
            self.since = self.since.min(since);
        }
    }

    /// Part of the operator's time that is over.
    fn part(&self, now: Instant) -> f64 {
        self.age(now).as_secs_f64() / self.spec.duration.as_secs_f64().max(f64::EPSILON)
    }

    /// Takes in how it ended.
    pub fn finish(&mut self, outcome: Status) {
        if self.outcome == Status::Running {
            self.outcome = outcome;
        }
    }

    /// Counts a request sent to one of the versions.
    pub fn record_sent(&mut self, side: Side) {
        self.own.side_mut(side).sent += 1;
    }

    /// Counts an answer of one of the versions.
    pub fn record_answer(&mut self, side: Side, bad: bool) {
        let count = self.own.side_mut(side);
        count.known += 1;
        count.bad += u32::from(bad);
    }

    /// Counts an answer whose time is known, and whether it took longer than most of the old
    /// version's.
    pub fn record_latency(&mut self, side: Side, slow: bool) {
        let count = self.own.side_mut(side);
        count.timed += 1;
        count.slow += u32::from(slow);
    }

    /// What this node has seen.
    pub fn own(&self) -> Tally {
        self.own
    }

    /// Takes in what another node has seen.
    pub fn set_report(&mut self, node: &NodeName, tally: Tally) {
        self.others.insert(node.clone(), tally);
    }

    /// Forgets what a node told: another one tells of the same from now on.
    pub fn remove_report(&mut self, node: &str) {
        self.others.remove(node);
    }

    /// What this node and some others have seen.
    pub fn tally_with(&self, told: impl Fn(&str) -> bool) -> Tally {
        let others = self.others.iter().filter(|(node, _)| told(node));
        others.fold(self.own, |sum, (_, tally)| sum.plus(*tally))
    }

    /// What all nodes have seen.
    pub fn total(&self) -> Tally {
        self.tally_with(|_| true)
    }

    /// Judges by what was seen; the outcome is kept.
    ///
    /// ```
    /// use route::rollout::{Order, Outcome, Settings, Side, Trial};
    /// let order = Order { service: "s".into(), to: "v2".into(), time: std::time::Duration::from_secs(12) };
    /// let now = std::time::Instant::now();
    /// let mut trial = Trial::new(order, Settings::default(), now);
    /// (0..8).for_each(|_| trial.answered(Side::New, true));
    /// assert_eq!(trial.judge(now), Outcome::RolledBack);
    /// ```
    pub fn evaluate(&mut self, now: Instant) -> Status {
        if self.outcome != Status::Running {
            return self.outcome;
        }
        let seen = self.total();
        let settings = &self.settings;
        let known = seen.new.known >= settings.min_answers;
        let timed = seen.new.timed >= settings.min_answers;
        let deviation = settings.z_threshold;
        if known && seen.is_significantly_worse(settings.bad_margin, deviation)
            || timed
                && seen
                    .latency()
                    .is_significantly_worse(settings.slow_margin, deviation)
        {
            self.outcome = Status::RolledBack;
        } else if self.part(now) >= settings.completion_start {
            self.outcome = match self.is_doubtful(&seen) {
                true => Status::RolledBack,
                false => Status::Completed,
            };
        }
        self.outcome
    }

    /// Whether too much speaks against the new version to let it take over.
    fn is_doubtful(&self, seen: &Tally) -> bool {
        let settings = &self.settings;
        let deviation = settings.doubt_z_threshold;
        seen.is_significantly_worse(settings.doubt_margin, deviation)
            || seen
                .latency()
                .is_significantly_worse(settings.doubt_slow_margin, deviation)
    }

    /// The version for a request: `draw` is a number between 0 and 1 that is the same for all
    /// requests of a session, `known` the version that the session is on.
    pub fn choose_side(&self, now: Instant, draw: f64, known: Option<Side>) -> Side {
        match self.outcome {
            Status::Completed => return Side::New,
            Status::RolledBack => return Side::Old,
            Status::Running if known == Some(Side::New) => return Side::New,
            Status::Running => (),
        }
        let part = self.part(now);
        let moved = self
            .settings
            .steps
            .iter()
            .rev()
            .find(|(from, _)| part >= *from);
        if let (Some((_, share)), true) = (moved, self.is_cleared()) {
            return match draw < *share {
                true => Side::New,
                false => Side::Old,
            };
        }
        let trial = part >= self.settings.trial_start && draw < self.settings.trial_share;
        match trial && known.is_none() && !self.is_exposed() {
            true => Side::New,
            false => Side::Old,
        }
    }

    /// Whether enough answers speak for the new version to let it have more than it may on trial.
    fn is_cleared(&self) -> bool {
        let seen = self.total();
        seen.new.known >= self.settings.min_answers_to_shift && !self.is_doubtful(&seen)
    }

    /// Whether the new version has had what it may get on trial.
    fn is_exposed(&self) -> bool {
        let seen = self.total();
        let all = f64::from(seen.old.sent + seen.new.sent);
        let most = self.settings.expose_share * all + self.settings.expose_extra;
        f64::from(seen.new.sent) >= most * self.settings.exposure_fraction
    }

    /// Which of the two versions a backend server has.
    pub fn side_of(&self, version: &str) -> Side {
        match version == self.spec.version {
            true => Side::New,
            false => Side::Old,
        }
    }
}
