//! The form of a plan.

use serde::Serialize;

/// Candidates that answer, by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// One version answers.
    Single(usize),
    /// The first version answers and its answer is rated; if it is bad, the second version answers.
    Cascade {
        /// Candidate that answers first.
        first: usize,
        /// Candidate that answers if the first answer is rated bad.
        then: usize,
    },
}

impl Shape {
    /// Returns the candidate that answers first.
    ///
    /// ```
    /// use policy::plan::Shape;
    /// assert_eq!(Shape::Cascade { first: 2, then: 0 }.first(), 2);
    /// ```
    pub fn first(self) -> usize {
        match self {
            Self::Single(first) | Self::Cascade { first, .. } => first,
        }
    }
}
