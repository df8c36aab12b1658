//! Findings with their location in a file.

use super::Location;
use crate::check::Finding;
use std::fmt;

/// A finding and its location, if the object is in one of the files.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Location; `None` if the finding is about an object that isn't in the files.
    pub location: Option<Location>,
    /// The finding, with the object and the path.
    pub finding: Finding,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.location {
            Some(location) => write!(formatter, "{location}: {}", self.finding),
            None => write!(formatter, "{}", self.finding),
        }
    }
}
