//! Locations in files.

use super::Source;
use std::fmt;

/// File, line and column, for messages.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl Location {
    /// Converts a byte offset in a file to a location.
    ///
    /// ```
    /// let source = contract::file::Source::new("f", "a = 1\nb = 2\n");
    /// assert_eq!(contract::file::Location::new(&source, 10).to_string(), "f:2:5");
    /// ```
    pub fn new(source: &Source, offset: usize) -> Self {
        let before = source.text.get(..offset).unwrap_or(&source.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            file: source.name.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}
