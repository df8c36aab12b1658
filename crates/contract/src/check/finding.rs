//! Violations with their path.

use crate::{ObjectKey, Violation};
use std::fmt;

/// A rule that an object of the configuration breaks, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Key of the object.
    pub key: ObjectKey,
    /// JSON pointer into the object.
    pub path: String,
    /// The broken rule.
    pub violation: Violation,
}

impl Finding {
    /// Creates a finding at a path of an object.
    ///
    /// ```
    /// let finding = contract::check::Finding::new("model/m", "/versions", contract::Violation::EmptyList);
    /// assert_eq!(finding.to_string(), "model/m /versions: the list is empty");
    /// ```
    pub fn new(key: &str, path: impl Into<String>, violation: Violation) -> Self {
        Self {
            key: key.to_owned(),
            path: path.into(),
            violation,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separator = if self.path.is_empty() { "" } else { " " };
        write!(
            formatter,
            "{}{separator}{}: {}",
            self.key, self.path, self.violation
        )
    }
}
