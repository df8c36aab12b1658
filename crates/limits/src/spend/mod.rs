//! Spend budgets that hold across all nodes.
//!
//! The budget of a period is one row in the platform's table service. Before a node spends, it
//! allocates a share of the budget with a conditional write, so that the sum of all shares never
//! exceeds the budget.

mod account;
mod allocation;
mod settings;

pub use account::Account;
pub use allocation::{Allocation, Reservation, State};
pub use settings::Settings;
