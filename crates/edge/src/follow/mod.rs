//! Following the tables of the platform's store.

mod follow;

pub use follow::{count_lines, follow, sweep};
