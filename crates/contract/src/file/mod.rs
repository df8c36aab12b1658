//! Reading and validation of TOML files with objects. Problems are reported with file, line and
//! column.

mod contents;
mod document;
mod location;
mod problem;
mod source;

pub use contents::{Contents, read};
pub use location::Location;
pub use problem::Problem;
pub use source::Source;
