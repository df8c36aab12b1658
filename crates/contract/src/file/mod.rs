//! Files of objects in TOML, checked whole, each violation with its file, line and column.

mod contents;
mod document;
mod location;
mod problem;
mod source;

pub use contents::{Contents, read};
pub use location::Location;
pub use problem::Problem;
pub use source::Source;
