//! Learned quality of each version by task and customer.

mod cell;
mod counter;
mod estimate;
mod ratings;
mod settings;
mod subject;
mod table;

pub use cell::{Cell, Delta, Origin};
pub use counter::{Counter, Counts};
pub use estimate::Estimate;
pub use settings::Settings;
pub use subject::Subject;
pub use table::Table;
