//! Following the change feeds of the platform's store.

mod follow;
mod role;

pub use follow::{follow, report_dropped_lines, sweep};
pub use role::Role;
