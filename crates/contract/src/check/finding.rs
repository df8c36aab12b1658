//! One fault and its place.

use crate::{Fault, ObjectKey};
use std::fmt;

/// A fault of an object of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Key of the object.
    pub key: ObjectKey,
    /// JSON pointer into the object.
    pub path: String,
    /// What is wrong there.
    pub fault: Fault,
}

impl Finding {
    /// A fault at a path of an object.
    ///
    /// ```
    /// let finding = contract::check::Finding::new("model/m", "/versions", contract::Fault::Empty);
    /// assert_eq!(finding.to_string(), "model/m /versions: the list is empty");
    /// ```
    pub fn new(key: &str, path: impl Into<String>, fault: Fault) -> Self {
        Self {
            key: key.to_owned(),
            path: path.into(),
            fault,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let space = if self.path.is_empty() { "" } else { " " };
        write!(
            formatter,
            "{}{space}{}: {}",
            self.key, self.path, self.fault
        )
    }
}
