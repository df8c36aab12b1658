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
}

impl Count {
    /// Share of bad answers.
    ///
    /// ```
    /// use route::rollout::Count;
    /// assert_eq!(Count { sent: 9, known: 4, bad: 1 }.bad_share(), 0.25);
    /// ```
    pub fn bad_share(&self) -> f64 {
        match self.known {
            0 => 0.0,
            known => f64::from(self.bad) / f64::from(known),
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
    pub fn side(&mut self, side: Side) -> &mut Count {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Standard deviations between the shares of bad answers of both versions.
    ///
    /// ```
    /// use route::rollout::{Count, Tally};
    /// let old = Count { sent: 100, known: 100, bad: 0 };
    /// let new = Count { sent: 10, known: 10, bad: 5 };
    /// assert!(Tally { old, new }.deviation() > 3.0);
    /// ```
    pub fn deviation(&self) -> f64 {
        let old = f64::from(self.old.known) + USUAL_KNOWN;
        let old_bad = f64::from(self.old.bad) + USUAL_BAD;
        let (new, new_bad) = (f64::from(self.new.known), f64::from(self.new.bad));
        let share = (old_bad + new_bad) / (old + new);
        let variance = share * (1.0 - share) * (1.0 / old + 1.0 / new.max(1.0));
        (self.new.bad_share() - old_bad / old) / variance.sqrt()
    }

    /// The sum of two.
    pub fn plus(self, other: Self) -> Self {
        let sum = |one: Count, two: Count| Count {
            sent: one.sent + two.sent,
            known: one.known + two.known,
            bad: one.bad + two.bad,
        };
        Self {
            old: sum(self.old, other.old),
            new: sum(self.new, other.new),
        }
    }
}
