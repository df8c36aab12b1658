//! Budgets for retries and hedged requests, so that they can't multiply load.

mod budget;
mod settings;
mod window;

pub use budget::Budget;
pub use settings::Settings;
pub use window::{Allowance, Window};
