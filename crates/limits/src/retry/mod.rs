//! Budgets for retries and hedged requests, which keep them from amplifying an overload.

mod budget;
mod settings;
mod window;

pub use budget::Budget;
pub use settings::Settings;
pub use window::{Allowance, Window};
