//! Budgets for retries and hedged requests, which keep them from amplifying an overload.

mod budget;
mod purpose;
mod settings;
mod window;

pub use budget::Budget;
pub use purpose::{Purpose, Shares};
pub use settings::Settings;
pub use window::{Allowance, Window};
