//! The life of one version at one task.

use crate::plan::Status;
use crate::quality::Counts;
use crate::rollout::{Settings, Sprt};
use rand::Rng;
use std::time::{Duration, Instant};

/// Where a version stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// In service.
    Serving,
    /// On trial under a budget of bad answers.
    Trial,
    /// Found bad; a new trial begins at the time given.
    Demoted {
        /// When the next trial begins.
        until: Instant,
    },
}

/// What changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The trial found the version sound.
    Promoted,
    /// The trial or the watch found the version bad.
    Demoted,
    /// The budget of bad answers was spent before the trial ended.
    Exhausted,
    /// A demoted version is tried again.
    Retried,
}

/// What operators ask for; it goes before what the watch finds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Intent {
    /// No roll-out names the version.
    #[default]
    None,
    /// The version is rolled out under a budget of bad answers.
    Rollout {
        /// Bad answers that may be spent.
        bad_answers: u32,
    },
    /// The roll-out is paused: the version takes no requests.
    Paused,
}

/// Watches one version at one task.
#[derive(Clone, Debug)]
pub struct Monitor {
    settings: Settings,
    intent: Intent,
    stage: Stage,
    since: Instant,
    /// Ratings since the stage began.
    counts: Counts,
    score: f64,
    budget: f64,
    demotions: u32,
}

impl Monitor {
    /// Starts watching. A version that no roll-out names is in service.
    ///
    /// ```
    /// use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let watch = Monitor::new(Settings::default(), Intent::Rollout { bad_answers: 20 }, now);
    /// assert_eq!(watch.status(), Status::Trial);
    /// ```
    pub fn new(settings: Settings, intent: Intent, now: Instant) -> Self {
        let mut watch = Self {
            settings,
            intent: Intent::None,
            stage: Stage::Serving,
            since: now,
            counts: Counts::default(),
            score: 0.0,
            budget: 0.0,
            demotions: 0,
        };
        watch.set_intent(now, intent);
        watch
    }

    /// Takes over what operators ask for. A changed roll-out starts the trial anew; a pause keeps
    /// what was learned. The end of a roll-out puts a version on trial in service, not a bad one.
    ///
    /// ```
    /// use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let mut watch = Monitor::new(Settings::default(), Intent::None, now);
    /// watch.set_intent(now, Intent::Paused);
    /// assert_eq!(watch.status(), Status::Demoted);
    /// watch.set_intent(now, Intent::None);
    /// assert_eq!(watch.status(), Status::Serving);
    /// ```
    pub fn set_intent(&mut self, now: Instant, intent: Intent) {
        if self.intent == intent {
            return;
        }
        let resumed = self.intent == Intent::Paused;
        self.intent = intent;
        match intent {
            Intent::Rollout { bad_answers } => {
                self.budget = f64::from(bad_answers);
                if !resumed || self.stage == Stage::Serving {
                    self.enter(now, Stage::Trial);
                }
            }
            Intent::None if self.stage == Stage::Trial => self.enter(now, Stage::Serving),
            Intent::None | Intent::Paused => (),
        }
    }

    /// Where the version stands.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Stage, Monitor};
    /// let watch = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert_eq!(watch.stage(), Stage::Serving);
    /// ```
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How plans treat the version.
    ///
    /// ```
    /// # use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let watch = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert_eq!(watch.status(), Status::Serving);
    /// ```
    pub fn status(&self) -> Status {
        match self.stage {
            _ if self.intent == Intent::Paused => Status::Demoted,
            Stage::Serving => Status::Serving,
            Stage::Trial => Status::Trial,
            Stage::Demoted { .. } => Status::Demoted,
        }
    }

    /// Returns whether the version is in the serving stage, even while its roll-out is paused.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Monitor};
    /// let watch = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert!(watch.is_serving());
    /// ```
    pub fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether ratings speak against the version, so that every answer should be rated.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Monitor};
    /// let watch = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert!(!watch.is_suspect());
    /// ```
    pub fn is_suspect(&self) -> bool {
        !self.is_serving() || self.score > self.settings.alarm_threshold / 4.0
    }

    /// Takes in ratings. The reference is the share of good answers expected of a sound version: in
    /// service its own from before, on trial that of the version it replaces.
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Event, Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let mut watch = Monitor::new(Settings::default(), Intent::None, now);
    /// let bad = (0..20).find_map(|_| watch.observe(now, Counts::from_rating(false), 0.95));
    /// assert_eq!(bad, Some(Event::Demoted));
    /// ```
    pub fn observe(&mut self, now: Instant, counts: Counts, reference: f64) -> Option<Event> {
        let test = Sprt::new(&self.settings, reference);
        self.counts = (self.counts + counts).clamped();
        match self.stage {
            Stage::Serving => self.guard(now, test.log_likelihood_ratio(counts)),
            Stage::Trial => self.judge(now, test.log_likelihood_ratio(self.counts)),
            Stage::Demoted { .. } => None,
        }
    }

    /// Begins a new trial when the time of a demotion is over.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Monitor};
    /// let now = std::time::Instant::now();
    /// let mut watch = Monitor::new(Settings::default(), Intent::None, now);
    /// assert_eq!(watch.tick(now), None);
    /// ```
    pub fn tick(&mut self, now: Instant) -> Option<Event> {
        match self.stage {
            Stage::Demoted { until } if now >= until => {
                self.budget = self.settings.retrial_budget;
                self.enter(now, Stage::Trial);
                Some(Event::Retried)
            }
            Stage::Serving
                if now.saturating_duration_since(self.since)
                    > self.settings.demotions_reset_after =>
            {
                self.demotions = 0;
                None
            }
            _ => None,
        }
    }

    /// Whether this node may start one more answer of the version on trial. The bad answers left are
    /// shared out between the nodes; answers that run or aren't rated yet count as bad.
    ///
    /// ```
    /// use policy::rollout::{Intent, Settings, Monitor};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let watch = Monitor::new(
    ///     Settings::default(), Intent::Rollout { bad_answers: 14 }, std::time::Instant::now());
    /// assert!(watch.admits(1, 7, &mut rng));
    /// assert!(!watch.admits(2, 7, &mut rng));
    /// ```
    pub fn admits(&self, outstanding: u32, nodes: u32, rng: &mut impl Rng) -> bool {
        if self.status() != Status::Trial {
            return false;
        }
        let left = (self.budget - self.counts.bad).max(0.0);
        let share = left / f64::from(nodes.max(1));
        let more = share - f64::from(outstanding);
        more >= 1.0 || (more > 0.0 && rng.random_bool(more))
    }

    fn guard(&mut self, now: Instant, step: f64) -> Option<Event> {
        self.score = (self.score + step).max(0.0);
        if self.score < self.settings.alarm_threshold {
            return None;
        }
        self.demote(now);
        Some(Event::Demoted)
    }

    fn judge(&mut self, now: Instant, score: f64) -> Option<Event> {
        let bound =
            ((1.0 - self.settings.error_probability) / self.settings.error_probability).ln();
        if score >= bound {
            self.demote(now);
            return Some(Event::Demoted);
        }
        if score <= -bound {
            self.enter(now, Stage::Serving);
            return Some(Event::Promoted);
        }
        if self.counts.bad >= self.budget {
            self.demote(now);
            return Some(Event::Exhausted);
        }
        None
    }

    fn demote(&mut self, now: Instant) {
        let until = now + self.cooldown();
        self.demotions += 1;
        self.enter(now, Stage::Demoted { until });
    }

    fn cooldown(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.demotions);
        let cooldown = self.settings.cooldown.saturating_mul(factor);
        cooldown.min(self.settings.max_cooldown)
    }

    fn enter(&mut self, now: Instant, stage: Stage) {
        self.stage = stage;
        self.since = now;
        self.counts = Counts::default();
        self.score = 0.0;
    }
}
