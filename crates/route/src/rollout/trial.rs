//! One roll-out in progress.

use super::{Settings, Side, Spec, Status, Tally};
use crate::NodeName;
use contract::Map;
use std::time::{Duration, Instant};

/// One roll-out in progress. All nodes apply the same rules to the evidence that they collect and
/// exchange, so that each node stops sending to a bad version by itself, whichever node writes the
/// status.
#[derive(Clone, Debug)]
pub struct Trial {
    /// What the operator requests.
    pub spec: Spec,
    settings: Settings,
    started: Instant,
    /// The final status in the store. It goes before this node's own evaluation.
    recorded: Option<Status>,
    /// Result of the last evaluation.
    evaluated: Status,
    own: Tally,
    /// Tallies that other nodes have reported.
    reports: Map<NodeName, Tally>,
}

impl Trial {
    /// Creates a roll-out that this node has just learned of.
    ///
    /// ```
    /// use route::rollout::{Settings, Spec, Status, Trial};
    /// let duration = std::time::Duration::from_secs(12);
    /// let spec = Spec { service: "s".into(), version: "v2".into(), duration };
    /// let trial = Trial::new(spec, Settings::default(), std::time::Instant::now());
    /// assert_eq!(trial.status(), Status::Running);
    /// ```
    pub fn new(spec: Spec, settings: Settings, now: Instant) -> Self {
        Self {
            spec,
            settings,
            started: now,
            recorded: None,
            evaluated: Status::Running,
            own: Tally::default(),
            reports: Map::default(),
        }
    }

    /// Returns the status in force: the final one in the store, or that this node has judged the
    /// version bad. A roll-out is only complete once the store says so, since the old servers stop
    /// then.
    pub fn status(&self) -> Status {
        match (self.recorded, self.evaluated) {
            (Some(recorded), _) => recorded,
            (None, Status::RolledBack) => Status::RolledBack,
            (None, _) => Status::Running,
        }
    }

    /// Returns the final status in the store or, without one, the result of the last evaluation.
    pub fn outcome(&self) -> Status {
        self.recorded.unwrap_or(self.evaluated)
    }

    /// Returns the time since the roll-out was requested, as far as this node knows.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Merges the age of the roll-out that another node reports; the greatest one is kept.
    pub fn merge_age(&mut self, now: Instant, age: Duration) {
        if let Some(started) = now.checked_sub(age) {
            self.started = self.started.min(started);
        }
    }

    /// Returns the elapsed fraction of the duration that the operator set.
    fn progress(&self, now: Instant) -> f64 {
        self.age(now).as_secs_f64() / self.spec.duration.as_secs_f64().max(f64::EPSILON)
    }

    /// Ends the roll-out with the status in the store. Returns whether it differs from what this
    /// node has judged.
    ///
    /// ```
    /// use route::rollout::{Settings, Spec, Status, Trial};
    /// let duration = std::time::Duration::from_secs(12);
    /// let spec = Spec { service: "s".into(), version: "v2".into(), duration };
    /// let now = std::time::Instant::now();
    /// let mut trial = Trial::new(spec, Settings::default(), now);
    /// trial.evaluate(now + duration);
    /// assert!(trial.finish(Status::RolledBack));
    /// assert_eq!(trial.evaluate(now + duration), Status::RolledBack);
    /// ```
    pub fn finish(&mut self, status: Status) -> bool {
        if status == Status::Running || self.recorded == Some(status) {
            return false;
        }
        self.recorded = Some(status);
        self.evaluated != Status::Running && self.evaluated != status
    }

    /// Counts a request sent to one of the versions.
    pub fn record_sent(&mut self, side: Side) {
        self.own.side_mut(side).sent += 1;
    }

    /// Counts a good or bad answer of one of the versions.
    pub fn record_answer(&mut self, side: Side, bad: bool) {
        let count = self.own.side_mut(side);
        count.known += 1;
        count.bad += u32::from(bad);
    }

    /// Counts an answer whose latency is known; `slow` tells whether it took longer than most of the
    /// old version's.
    pub fn record_latency(&mut self, side: Side, slow: bool) {
        let count = self.own.side_mut(side);
        count.timed += 1;
        count.slow += u32::from(slow);
    }

    /// Returns the tally of this node.
    pub fn own(&self) -> Tally {
        self.own
    }

    /// Sets the tally that another node reports.
    pub fn set_report(&mut self, node: &NodeName, tally: Tally) {
        self.reports.insert(node.clone(), tally);
    }

    /// Removes the tally of a node, because another node reports the same evidence from now on.
    pub fn remove_report(&mut self, node: &str) {
        self.reports.remove(node);
    }

    /// Returns the tally of this node plus those of the other nodes that `includes` accepts.
    pub fn tally_with(&self, includes: impl Fn(&str) -> bool) -> Tally {
        let reports = self.reports.iter().filter(|(node, _)| includes(node));
        reports.fold(self.own, |sum, (_, tally)| sum.plus(*tally))
    }

    /// Returns the tally of all nodes.
    pub fn total(&self) -> Tally {
        self.tally_with(|_| true)
    }

    /// Returns the status by the evidence so far. A bad version stays rolled back; that a version may
    /// complete is judged anew each time, until the store has a final status.
    ///
    /// ```
    /// use route::rollout::{Settings, Side, Spec, Status, Trial};
    /// let duration = std::time::Duration::from_secs(12);
    /// let spec = Spec { service: "s".into(), version: "v2".into(), duration };
    /// let now = std::time::Instant::now();
    /// let mut trial = Trial::new(spec, Settings::default(), now);
    /// (0..8).for_each(|_| trial.record_answer(Side::New, true));
    /// assert_eq!(trial.evaluate(now), Status::RolledBack);
    /// ```
    pub fn evaluate(&mut self, now: Instant) -> Status {
        if let Some(recorded) = self.recorded {
            return recorded;
        }
        if self.evaluated == Status::RolledBack {
            return Status::RolledBack;
        }
        let total = self.total();
        let settings = &self.settings;
        let known = total.new.known >= settings.min_answers;
        let timed = total.new.timed >= settings.min_answers;
        let z_threshold = settings.z_threshold;
        if known && total.is_significantly_worse(settings.bad_margin, z_threshold)
            || timed
                && total
                    .latency()
                    .is_significantly_worse(settings.slow_margin, z_threshold)
        {
            self.evaluated = Status::RolledBack;
        } else if self.progress(now) >= settings.completion_start {
            self.evaluated = match self.is_doubtful(&total) {
                true => Status::RolledBack,
                false => Status::Completed,
            };
        }
        self.evaluated
    }

    /// Whether there is too much evidence against the new version to let it take over.
    fn is_doubtful(&self, total: &Tally) -> bool {
        let settings = &self.settings;
        let z_threshold = settings.doubt_z_threshold;
        total.is_significantly_worse(settings.doubt_margin, z_threshold)
            || total
                .latency()
                .is_significantly_worse(settings.doubt_slow_margin, z_threshold)
    }

    /// Chooses the version for a request. `draw` is a number between 0 and 1 that is the same for all
    /// requests of a session, and `known` is the version that the session is on.
    pub fn choose_side(&self, now: Instant, draw: f64, known: Option<Side>) -> Side {
        match self.status() {
            Status::Completed => return Side::New,
            Status::RolledBack => return Side::Old,
            Status::Running if known == Some(Side::New) => return Side::New,
            Status::Running => (),
        }
        let progress = self.progress(now);
        let step = self
            .settings
            .steps
            .iter()
            .rev()
            .find(|(from, _)| progress >= *from);
        if let (Some((_, share)), true) = (step, self.may_shift()) {
            return match draw < *share {
                true => Side::New,
                false => Side::Old,
            };
        }
        let trial = progress >= self.settings.trial_start && draw < self.settings.trial_share;
        match trial && known.is_none() && !self.is_exposure_spent() {
            true => Side::New,
            false => Side::Old,
        }
    }

    /// Whether there is enough evidence for the new version to give it more than the trial share.
    fn may_shift(&self) -> bool {
        let total = self.total();
        total.new.known >= self.settings.min_answers_to_shift && !self.is_doubtful(&total)
    }

    /// Whether the new version has had all the requests that it may get on trial.
    fn is_exposure_spent(&self) -> bool {
        let total = self.total();
        let sent = f64::from(total.old.sent) + f64::from(total.new.sent);
        let limit = self.settings.expose_share * sent + self.settings.expose_extra;
        f64::from(total.new.sent) >= limit * self.settings.exposure_fraction
    }

    /// Returns the side of a backend server with this version.
    pub fn side_of(&self, version: &str) -> Side {
        match version == self.spec.version {
            true => Side::New,
            false => Side::Old,
        }
    }
}
