//! The row of a budget in the platform's table service.

use contract::Micros;
use serde::{Deserialize, Serialize};

/// What of a period's budget is granted to nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Micro-units of money granted to nodes in this period.
    pub granted: Micros,
}

impl Account {
    /// Takes at most what is wanted out of the budget, and returns the row after it and the share.
    /// The share counts only once a conditional write of the row has taken effect.
    ///
    /// ```
    /// let account = limits::spend::Account { granted: 90 };
    /// let (after, share) = account.allocate(100, 30);
    /// assert_eq!((after.granted, share), (100, 10));
    /// ```
    pub fn allocate(self, budget: Micros, wanted: Micros) -> (Self, Micros) {
        let share = wanted.min(budget.saturating_sub(self.granted));
        let granted = self.granted + share;
        (Self { granted }, share)
    }

    /// Gives back what a node that leaves hasn't spent.
    ///
    /// ```
    /// let account = limits::spend::Account { granted: 90 };
    /// assert_eq!(account.release(40).granted, 50);
    /// ```
    pub fn release(self, unspent: Micros) -> Self {
        Self {
            granted: self.granted.saturating_sub(unspent),
        }
    }
}
