//! A node's share of one customer's budget.

use crate::Refusal;
use crate::spend::Settings;
use contract::Micros;

/// Money set aside for one request.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a hold is settled with what the request cost"]
pub struct Reservation {
    period: u64,
    micros: Micros,
}

/// How much is left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Far from the end.
    Ample,
    /// Near the end, with so many micro-units of money at this node.
    Low(Micros),
}

/// A node's share of one customer's budget in one period.
#[derive(Clone, Debug)]
pub struct Allocation {
    settings: Settings,
    budget: Micros,
    period: u64,
    /// Granted to all nodes, as last seen.
    granted: Micros,
    share: Micros,
    held: Micros,
    spent: Micros,
}

impl Allocation {
    /// An empty share of a budget.
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
            held: 0,
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

    /// What this node may still spend.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert_eq!(Allocation::new(Settings::default(), 1, 7).remaining(), 0);
    /// ```
    pub fn remaining(&self) -> Micros {
        self.share.saturating_sub(self.held + self.spent)
    }

    /// What this node has spent in the period.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert_eq!(Allocation::new(Settings::default(), 1, 7).spent(), 0);
    /// ```
    pub fn spent(&self) -> Micros {
        self.spent
    }

    /// Starts a new period or a changed budget; shares of the old one end.
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

    /// Adds a share that the platform has granted, with what all nodes have been granted.
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

    /// The share to ask the platform for now, with so many nodes and so dear a request. None while
    /// half of the usual share is left or the budget is granted in full.
    ///
    /// ```
    /// use limits::spend::{Allocation, Settings};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// assert_eq!(allocation.refill_amount(5, 10), Some(100));
    /// allocation.grant(7, 100, 100);
    /// assert_eq!(allocation.refill_amount(5, 10), None);
    /// ```
    pub fn refill_amount(&self, nodes: u32, max_cost: Micros) -> Option<Micros> {
        let rest = self.budget.saturating_sub(self.granted);
        if rest == 0 {
            return None;
        }
        let fair = rest as f64 / f64::from(nodes.max(1));
        let part = (fair * self.settings.refill_fraction) as Micros;
        let smallest = max_cost.saturating_mul(self.settings.min_requests);
        let wanted = part.max(smallest).min(rest);
        (self.remaining() < wanted.div_ceil(2)).then_some(wanted)
    }

    /// Whether the budget nears its end.
    ///
    /// ```
    /// use limits::spend::{Allocation, Settings, State};
    /// let mut allocation = Allocation::new(Settings::default(), 1_000, 7);
    /// assert_eq!(allocation.state(), State::Ample);
    /// allocation.grant(7, 960, 50);
    /// assert_eq!(allocation.state(), State::Low(50));
    /// ```
    pub fn state(&self) -> State {
        let rest = self.budget.saturating_sub(self.granted) + self.remaining();
        if (rest as f64) < self.budget as f64 * self.settings.low_fraction {
            State::Low(self.remaining())
        } else {
            State::Ample
        }
    }

    /// Sets money aside for a request that may cost so much.
    ///
    /// ```
    /// # use limits::spend::{Allocation, Settings};
    /// assert!(Allocation::new(Settings::default(), 1_000, 7).reserve(1).is_err());
    /// ```
    pub fn reserve(&mut self, micros: Micros) -> Result<Reservation, Refusal> {
        if micros > self.remaining() {
            let left = self.budget.saturating_sub(self.granted);
            let refusal = match left {
                0 => Refusal::Spent {
                    left: self.remaining(),
                },
                _ => Refusal::Unfunded,
            };
            return Err(refusal);
        }
        self.held += micros;
        let period = self.period;
        Ok(Reservation { period, micros })
    }

    /// Turns a hold into what the request cost. A cost above the hold is charged too: what follows has
    /// less left.
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
        self.held = self.held.saturating_sub(reservation.micros);
        self.spent += cost;
    }
}
