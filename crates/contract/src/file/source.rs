//! Text of a file.

/// Name and text of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Name shown in locations.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

impl Source {
    /// Creates a source from a name and a text.
    ///
    /// ```
    /// let source = contract::file::Source::new("zones.toml", "[zone]\nname = 'a'\nout = false\n");
    /// assert_eq!(source.name, "zones.toml");
    /// ```
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}
