//! A violation at a place of a file.

use super::Place;
use crate::check::Finding;
use std::fmt;

/// A violation and, where it stands in one of the files, its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Place; absent when the violation is in an object that the files don't hold.
    pub place: Option<Place>,
    /// What is wrong, and in which object.
    pub finding: Finding,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Some(place) => write!(formatter, "{place}: {}", self.finding),
            None => write!(formatter, "{}", self.finding),
        }
    }
}
