//! Files of objects in TOML, checked whole, each violation with its file, line and column.

mod document;
mod location;
mod problem;
mod reading;
mod source;

pub use location::Location;
pub use problem::Problem;
pub use reading::{Reading, read};
pub use source::Source;
