//! A node's share of one customer's budget.

use crate::Refusal;
use crate::spend::Settings;
use contract::Micros;

/// Money reserved for one request.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a reservation must be settled with the cost of the request"]
pub struct Reservation {
    period: u64,
    micros: Micros,
}

/// How close a budget is to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Enough is left.
    Ample,
    /// Nearly exhausted; holds what this node may still spend, in micro-units of money.
    Low(Micros),
}

/// A node's share of one customer's budget in one period.
#[derive(Clone, Debug)]
pub struct Allocation {
    settings: Settings,
    budget: Micros,
    period: u64,
    /// Total granted to all nodes, as of the last grant to this node.
    granted: Micros,
    share: Micros,
    reserved: Micros,
    spent: Micros,
}

impl Allocation {
    /// Creates an empty share of a budget.
    ///
    /// ```
    /// use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// assert!(allocation.reserve(10).is_err());
    /// allocation.grant(7, 100, 100);
    /// let reservation = allocation.reserve(10)?;
    /// allocation.settle(reservation, 4);
    /// assert_eq!(allocation.remaining(), 96);
    /// # Ok::<(), limits::Refusal>(())
    /// ```
    pub fn new(settings: Settings, budget: Micros, period: u64) -> Self {
        Self {
            settings,
            budget,
            period,
            granted: 0,
            share: 0,
            reserved: 0,
            spent: 0,
        }
    }

    /// Number of the period.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert_eq!(Allocation::new(Settings::default(), 1, 7).period(), 7);
    /// ```
    pub fn period(&self) -> u64 {
        self.period
    }

    /// Amount that this node may still spend.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert_eq!(Allocation::new(Settings::default(), 1, 7).remaining(), 0);
    /// ```
    pub fn remaining(&self) -> Micros {
        self.share.saturating_sub(self.reserved + self.spent)
    }

    /// Amount that this node has spent in the period.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert_eq!(Allocation::new(Settings::default(), 1, 7).spent(), 0);
    /// ```
    pub fn spent(&self) -> Micros {
        self.spent
    }

    /// Applies a changed budget, or starts a new period. Shares of earlier periods become void.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1, 7);
    /// allocation.update(2, 8);
    /// assert_eq!(allocation.period(), 8);
    /// ```
    pub fn update(&mut self, budget: Micros, period: u64) {
        self.budget = budget;
        if period > self.period {
            *self = Self::new(self.settings.clone(), budget, period);
        }
    }

    /// Adds a share granted in a period. `granted` is the total granted to all nodes. A share of
    /// another period is ignored.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// allocation.grant(6, 100, 100);
    /// assert_eq!(allocation.remaining(), 0, "a share of an old period is void");
    /// ```
    pub fn grant(&mut self, period: u64, granted: Micros, share: Micros) {
        if period == self.period {
            self.granted = granted;
            self.share += share;
        }
    }

    /// Size of the share to request from the table service now, given the number of nodes and the
    /// highest cost of a request. Returns `None` if at least half of a share is left or if the
    /// whole budget is already granted.
    ///
    /// ```
    /// use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// assert_eq!(allocation.refill_amount(5, 10), Some(100));
    /// allocation.grant(7, 100, 100);
    /// assert_eq!(allocation.refill_amount(5, 10), None);
    /// ```
    pub fn refill_amount(&self, nodes: u32, max_cost: Micros) -> Option<Micros> {
        let ungranted = self.budget.saturating_sub(self.granted);
        if ungranted == 0 {
            return None;
        }
        let fair = ungranted as f64 / f64::from(nodes.max(1));
        let preferred = (fair * self.settings.refill_fraction) as Micros;
        let min = max_cost.saturating_mul(self.settings.min_requests);
        let wanted = preferred.max(min).min(ungranted);
        (self.remaining() < wanted.div_ceil(2)).then_some(wanted)
    }

    /// Whether the budget is nearly exhausted.
    ///
    /// ```
    /// use limits::spend::{Allocation, Settings, State};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// assert_eq!(allocation.state(), State::Ample);
    /// allocation.grant(7, 960, 50);
    /// assert_eq!(allocation.state(), State::Low(50));
    /// ```
    pub fn state(&self) -> State {
        let available = self.budget.saturating_sub(self.granted) + self.remaining();
        if (available as f64) < self.budget as f64 * self.settings.low_fraction {
            State::Low(self.remaining())
        } else {
            State::Ample
        }
    }

    /// Reserves money for a request that costs at most `micros`.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert!(Allocation::new(Settings::default(), 1_000, 7).reserve(1).is_err());
    /// ```
    pub fn reserve(&mut self, micros: Micros) -> Result<Reservation, Refusal> {
        if micros > self.remaining() {
            let ungranted = self.budget.saturating_sub(self.granted);
            let refusal = match ungranted {
                0 => Refusal::Spent {
                    left: self.remaining(),
                },
                _ => Refusal::Unfunded,
            };
            return Err(refusal);
        }
        self.reserved += micros;
        let period = self.period;
        Ok(Reservation { period, micros })
    }

    /// Replaces a reservation by the actual cost of the request. A cost above the reserved amount
    /// is charged in full and reduces what later requests may spend.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// allocation.grant(7, 10, 10);
    /// let reservation = allocation.reserve(10)?;
    /// allocation.settle(reservation, 3);
    /// assert_eq!((allocation.remaining(), allocation.spent()), (7, 3));
    /// # Ok::<(), limits::Refusal>(())
    /// ```
    pub fn settle(&mut self, reservation: Reservation, cost: Micros) {
        if reservation.period != self.period {
            return;
        }
        self.reserved = self.reserved.saturating_sub(reservation.micros);
        self.spent += cost;
    }
}
