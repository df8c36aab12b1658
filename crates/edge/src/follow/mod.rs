//! Following the tables of the platform's store.

mod follow;
mod role;

pub use follow::{count_lines, follow, sweep};
pub use role::Role;
