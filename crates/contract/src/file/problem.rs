//! A violation at a location of a file.

use super::Location;
use crate::check::Finding;
use std::fmt;

/// A violation and, where it stands in one of the files, its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Location; absent when the violation is in an object that the files don't hold.
    pub location: Option<Location>,
    /// What is wrong, and in which object.
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
