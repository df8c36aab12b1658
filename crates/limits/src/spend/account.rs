//! State of a budget in the platform's table service.

use contract::Micros;
use serde::{Deserialize, Serialize};

/// The part of a period's budget that is granted to nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Micro-units of money granted to nodes in this period.
    pub granted: Micros,
}

impl Account {
    /// Allocates up to `wanted` from the budget. Returns the new account and the allocated share.
    /// The share may be used only after a conditional write of the new account has succeeded.
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

    /// Returns the unspent share of a node that leaves.
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
