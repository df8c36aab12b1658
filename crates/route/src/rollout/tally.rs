//! Evidence of a roll-out.

use super::Side;

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Requests sent.
    pub sent: u32,
    /// Answers that are known to be good or bad.
    pub known: u32,
    /// Bad answers.
    pub bad: u32,
    /// Answers whose latency is known.
    pub timed: u32,
    /// Timed answers that took longer than most of the old version's.
    pub slow: u32,
}

impl Count {
    /// Returns the share of bad answers.
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

    /// Returns the timed answers as known ones and the slow answers as bad ones, so that latencies
    /// can be compared like failures.
    fn latency(self) -> Self {
        Self {
            known: self.timed,
            bad: self.slow,
            ..self
        }
    }
}

/// Known answers that the prior adds to those of the old version.
const PRIOR_KNOWN: f64 = 20.0;
/// Bad answers among those of the prior.
const PRIOR_BAD: f64 = 1.0;

/// Answers of both versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Answers of the old version.
    pub old: Count,
    /// Answers of the new version.
    pub new: Count,
}

impl Tally {
    /// Returns the count of one version.
    pub fn side_mut(&mut self, side: Side) -> &mut Count {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Returns the z-score of the difference between the shares of bad answers: the difference in
    /// standard deviations.
    ///
    /// ```
    /// use route::rollout::{Count, Tally};
    /// let old = Count { known: 100, ..Default::default() };
    /// let new = Count { known: 10, bad: 5, ..Default::default() };
    /// assert!(Tally { old, new }.z_score() > 3.0);
    /// ```
    pub fn z_score(&self) -> f64 {
        let old = f64::from(self.old.known) + PRIOR_KNOWN;
        let old_bad = f64::from(self.old.bad) + PRIOR_BAD;
        let (new, new_bad) = (f64::from(self.new.known), f64::from(self.new.bad));
        let share = (old_bad + new_bad) / (old + new);
        let variance = share * (1.0 - share) * (1.0 / old + 1.0 / new.max(1.0));
        (self.new.bad_share() - old_bad / old) / variance.sqrt()
    }

    /// Returns by how much the new version's share of bad answers exceeds that of the old one.
    ///
    /// ```
    /// use route::rollout::{Count, Tally};
    /// let new = Count { known: 10, bad: 5, ..Default::default() };
    /// assert_eq!(Tally { new, ..Default::default() }.bad_share_difference(), 0.5);
    /// ```
    pub fn bad_share_difference(&self) -> f64 {
        self.new.bad_share() - self.old.bad_share()
    }

    /// Whether the new version's share of bad answers is greater by more than `margin`, with a
    /// z-score above `z_threshold`.
    pub fn is_significantly_worse(&self, margin: f64, z_threshold: f64) -> bool {
        self.bad_share_difference() > margin && self.z_score() > z_threshold
    }

    /// Returns the latencies of both versions, with the slow answers counted as bad.
    pub fn latency(&self) -> Self {
        Self {
            old: self.old.latency(),
            new: self.new.latency(),
        }
    }

    /// Returns the sum of two tallies.
    pub fn plus(self, other: Self) -> Self {
        let sum = |one: Count, two: Count| Count {
            sent: one.sent.saturating_add(two.sent),
            known: one.known.saturating_add(two.known),
            bad: one.bad.saturating_add(two.bad),
            timed: one.timed.saturating_add(two.timed),
            slow: one.slow.saturating_add(two.slow),
        };
        Self {
            old: sum(self.old, other.old),
            new: sum(self.new, other.new),
        }
    }

    /// Returns the difference of two tallies, at least 0.
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
