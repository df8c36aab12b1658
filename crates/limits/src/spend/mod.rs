//! Budgets that hold across nodes.
//!
//! The budget of a period is one row in the platform's table service. A node takes a share out of it
//! by a conditional write before it spends, so that the shares never add up to more than the budget.

mod account;
mod allocation;
mod settings;

pub use account::Account;
pub use allocation::{Allocation, Reservation, State};
pub use settings::Settings;
