//! Following the tables of the platform's store.

mod follow;
mod part;

pub use follow::{count_lines, follow, sweep};
pub use part::Part;
