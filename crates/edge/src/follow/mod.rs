//! Following the tables of the platform's store.

mod follow;
mod role;

pub use follow::{report_dropped_lines, follow, sweep};
pub use role::Role;
