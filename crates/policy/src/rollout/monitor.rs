//! Roll-out state of one version.

use crate::plan::Status;
use crate::quality::Counts;
use crate::rollout::{Settings, Sprt};
use rand::Rng;
use std::time::{Duration, Instant};

/// Roll-out stage of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// In service.
    Serving,
    /// On trial under a budget of bad answers.
    Trial,
    /// Failed its quality check; a retrial begins later.
    Demoted {
        /// When the retrial begins.
        until: Instant,
    },
}

/// Change of a version's stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The trial found the version good.
    Promoted,
    /// The version was found bad, on trial or in service.
    Demoted,
    /// The budget of bad answers was spent before the trial was decided.
    Exhausted,
    /// The retrial of a demoted version has begun.
    Retried,
}

/// Intent of the operators, which takes precedence over the monitor's findings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Intent {
    /// No roll-out of this version.
    #[default]
    None,
    /// The version is rolled out under a budget of bad answers.
    Rollout {
        /// Number of bad answers allowed.
        bad_answers: u32,
    },
    /// The roll-out is paused, and the version takes no requests.
    Paused,
}

/// Monitors the ratings of one version, for one task or for all of them. In service it runs a CUSUM
/// test on the log-likelihood ratios of the ratings; on trial, a sequential probability ratio test
/// ([`Sprt`]).
#[derive(Clone, Debug)]
pub struct Monitor {
    settings: Settings,
    intent: Intent,
    stage: Stage,
    stage_since: Instant,
    /// Ratings since the stage began.
    counts: Counts,
    cusum: f64,
    budget: f64,
    demotions: u32,
}

impl Monitor {
    /// Creates a monitor. A version without a roll-out is in service.
    ///
    /// ```
    /// use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let monitor = Monitor::new(Settings::default(), Intent::Rollout { bad_answers: 20 }, now);
    /// assert_eq!(monitor.status(), Status::Trial);
    /// ```
    pub fn new(settings: Settings, intent: Intent, now: Instant) -> Self {
        let mut monitor = Self {
            settings,
            intent: Intent::None,
            stage: Stage::Serving,
            stage_since: now,
            counts: Counts::default(),
            cusum: 0.0,
            budget: 0.0,
            demotions: 0,
        };
        monitor.set_intent(now, intent);
        monitor
    }

    /// Applies the operators' intent. A changed roll-out restarts the trial, but resuming a paused
    /// one keeps its ratings. When a roll-out ends, a version on trial goes into service, while a
    /// demoted one stays demoted.
    ///
    /// ```
    /// use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let mut monitor = Monitor::new(Settings::default(), Intent::None, now);
    /// monitor.set_intent(now, Intent::Paused);
    /// assert_eq!(monitor.status(), Status::Demoted);
    /// monitor.set_intent(now, Intent::None);
    /// assert_eq!(monitor.status(), Status::Serving);
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
                    self.enter_stage(now, Stage::Trial);
                }
            }
            Intent::None if self.stage == Stage::Trial => self.enter_stage(now, Stage::Serving),
            Intent::None | Intent::Paused => (),
        }
    }

    /// Returns the stage.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Stage, Monitor};
    /// let monitor = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert_eq!(monitor.stage(), Stage::Serving);
    /// ```
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the status that plans use.
    ///
    /// ```
    /// # use policy::{plan::Status, rollout::{Intent, Settings, Monitor}};
    /// let monitor = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert_eq!(monitor.status(), Status::Serving);
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
    /// let monitor = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert!(monitor.is_serving());
    /// ```
    pub fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Returns whether every answer of the version should be rated: it isn't in service, or its
    /// CUSUM value is above a quarter of the threshold.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Monitor};
    /// let monitor = Monitor::new(Settings::default(), Intent::None, std::time::Instant::now());
    /// assert!(!monitor.is_suspect());
    /// ```
    pub fn is_suspect(&self) -> bool {
        !self.is_serving() || self.cusum > self.settings.alarm_threshold / 4.0
    }

    /// Adds ratings. `expected_quality` is the share of good answers expected of a good version: in
    /// service, the version's own quality so far; on trial, that of the version it replaces.
    ///
    /// ```
    /// use policy::{quality::Counts, rollout::{Event, Intent, Settings, Monitor}};
    /// let now = std::time::Instant::now();
    /// let mut monitor = Monitor::new(Settings::default(), Intent::None, now);
    /// let bad = (0..20).find_map(|_| monitor.observe(now, Counts::from_rating(false), 0.95));
    /// assert_eq!(bad, Some(Event::Demoted));
    /// ```
    pub fn observe(
        &mut self,
        now: Instant,
        counts: Counts,
        expected_quality: f64,
    ) -> Option<Event> {
        let sprt = Sprt::new(&self.settings, expected_quality);
        self.counts = (self.counts + counts).clamped();
        match self.stage {
            Stage::Serving => self.update_cusum(now, sprt.log_likelihood_ratio(counts)),
            Stage::Trial => self.evaluate_trial(now, sprt.log_likelihood_ratio(self.counts)),
            Stage::Demoted { .. } => None,
        }
    }

    /// Begins the retrial of a demoted version when it is due.
    ///
    /// ```
    /// # use policy::rollout::{Intent, Settings, Monitor};
    /// let now = std::time::Instant::now();
    /// let mut monitor = Monitor::new(Settings::default(), Intent::None, now);
    /// assert_eq!(monitor.tick(now), None);
    /// ```
    pub fn tick(&mut self, now: Instant) -> Option<Event> {
        match self.stage {
            Stage::Demoted { until } if now >= until => {
                self.budget = self.settings.retrial_budget;
                self.enter_stage(now, Stage::Trial);
                Some(Event::Retried)
            }
            Stage::Serving
                if now.saturating_duration_since(self.stage_since)
                    > self.settings.demotions_reset_after =>
            {
                self.demotions = 0;
                None
            }
            _ => None,
        }
    }

    /// Returns whether this node may start one more answer of the version on trial. The nodes share
    /// the remaining budget of bad answers equally, and unrated answers (`outstanding`) count as
    /// bad. A fraction of an answer is allowed at random with that probability.
    ///
    /// ```
    /// use policy::rollout::{Intent, Settings, Monitor};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let monitor = Monitor::new(
    ///     Settings::default(), Intent::Rollout { bad_answers: 14 }, std::time::Instant::now());
    /// assert!(monitor.admits(1, 7, &mut rng));
    /// assert!(!monitor.admits(2, 7, &mut rng));
    /// ```
    pub fn admits(&self, outstanding: u32, nodes: u32, rng: &mut impl Rng) -> bool {
        if self.status() != Status::Trial {
            return false;
        }
        let remaining = (self.budget - self.counts.bad).max(0.0);
        let share = remaining / f64::from(nodes.max(1));
        let available = share - f64::from(outstanding);
        available >= 1.0 || (available > 0.0 && rng.random_bool(available))
    }

    fn update_cusum(&mut self, now: Instant, increment: f64) -> Option<Event> {
        self.cusum = (self.cusum + increment).max(0.0);
        if self.cusum < self.settings.alarm_threshold {
            return None;
        }
        self.demote(now);
        Some(Event::Demoted)
    }

    fn evaluate_trial(&mut self, now: Instant, ratio: f64) -> Option<Event> {
        let bound =
            ((1.0 - self.settings.error_probability) / self.settings.error_probability).ln();
        if ratio >= bound {
            self.demote(now);
            return Some(Event::Demoted);
        }
        if ratio <= -bound {
            self.enter_stage(now, Stage::Serving);
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
        self.enter_stage(now, Stage::Demoted { until });
    }

    fn cooldown(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.demotions);
        let cooldown = self.settings.cooldown.saturating_mul(factor);
        cooldown.min(self.settings.max_cooldown)
    }

    fn enter_stage(&mut self, now: Instant, stage: Stage) {
        self.stage = stage;
        self.stage_since = now;
        self.counts = Counts::default();
        self.cusum = 0.0;
    }
}
