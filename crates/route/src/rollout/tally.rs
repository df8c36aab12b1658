//! Evidence of a roll-out.

use super::Side;

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Requests that were sent to it.
    pub sent: u32,
    /// Answers of which it is known whether they were good.
    pub known: u32,
    /// Answers that were bad.
    pub bad: u32,
    /// Answers whose time is known.
    pub timed: u32,
    /// Timed answers that took longer than most of the old version's.
    pub slow: u32,
}

impl Count {
    /// Share of bad answers.
    ///
    /// ```
    /// use route::rollout::Count;
    /// assert_eq!(Count { known: 4, bad: 1, ..Default::default() }.bad_share(), 0.25);
    /// ```
    pub fn bad_share(&self) -> f64 {
        match self.known {
            0 => 0.0,
            known => f64::from(self.bad) / f64::from(known),
        }
    }

    /// The timed answers as known ones, and the slow ones as bad ones: times are judged like
    /// failures.
    fn times(self) -> Self {
        Self {
            known: self.timed,
            bad: self.slow,
            ..self
        }
    }
}

/// Answers of an old version that are taken for known before any is.
const USUAL_KNOWN: f64 = 20.0;
/// Bad ones among them.
const USUAL_BAD: f64 = 1.0;

/// Answers of both versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Of the old version.
    pub old: Count,
    /// Of the new version.
    pub new: Count,
}

impl Tally {
    /// The answers of one version.
    pub fn side_mut(&mut self, side: Side) -> &mut Count {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Standard deviations between the shares of bad answers of both versions.
    ///
    /// ```
    /// use route::rollout::{Count, Tally};
    /// let old = Count { known: 100, ..Default::default() };
    /// let new = Count { known: 10, bad: 5, ..Default::default() };
    /// assert!(Tally { old, new }.deviation() > 3.0);
    /// ```
    pub fn z_score(&self) -> f64 {
        let old = f64::from(self.old.known) + USUAL_KNOWN;
        let old_bad = f64::from(self.old.bad) + USUAL_BAD;
        let (new, new_bad) = (f64::from(self.new.known), f64::from(self.new.bad));
        let share = (old_bad + new_bad) / (old + new);
        let variance = share * (1.0 - share) * (1.0 / old + 1.0 / new.max(1.0));
        (self.new.bad_share() - old_bad / old) / variance.sqrt()
    }

    /// By how much the new version's share of bad answers is greater.
    ///
    /// ```
    /// use route::rollout::{Count, Tally};
    /// let new = Count { known: 10, bad: 5, ..Default::default() };
    /// assert_eq!(Tally { new, ..Default::default() }.worse(), 0.5);
    /// ```
    pub fn bad_share_difference(&self) -> f64 {
        self.new.bad_share() - self.old.bad_share()
    }

    /// Whether the new version's share is greater by more than `least`, and by more standard
    /// deviations than the given ones.
    pub fn is_significantly_worse(&self, least: f64, deviation: f64) -> bool {
        self.bad_share_difference() > least && self.z_score() > deviation
    }

    /// The times of both versions, the slow answers as bad ones.
    pub fn latency(&self) -> Self {
        Self {
            old: self.old.times(),
            new: self.new.times(),
        }
    }

    /// The sum of two.
    pub fn plus(self, other: Self) -> Self {
        let sum = |one: Count, two: Count| Count {
            sent: one.sent + two.sent,
            known: one.known + two.known,
            bad: one.bad + two.bad,
            timed: one.timed + two.timed,
            slow: one.slow + two.slow,
        };
        Self {
            old: sum(self.old, other.old),
            new: sum(self.new, other.new),
        }
    }

    /// What is left without a part.
    pub fn minus(self, part: Self) -> Self {
        let rest = |all: Count, part: Count| Count {
            sent: all.sent.saturating_sub(part.sent),
            known: all.known.saturating_sub(part.known),
            bad: all.bad.saturating_sub(part.bad),
            timed: all.timed.saturating_sub(part.timed),
            slow: all.slow.saturating_sub(part.slow),
        };
        Self {
            old: rest(self.old, part.old),
            new: rest(self.new, part.new),
        }
    }
}
