//! Keys that are redacted in logs, dumps and errors.

use crate::spec::MIN_KEY_CHARS;
use std::fmt;
use subtle::ConstantTimeEq;

/// Text shown in place of a secret.
const REDACTED: &str = "<redacted>";

/// A key whose `Debug` and `Display` hide it.
///
/// ```
/// let key = settings::Secret::new("open sesame");
/// assert_eq!(format!("{key} {key:?}"), "<redacted> <redacted>");
/// ```
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a key.
    ///
    /// ```
    /// assert_eq!(settings::Secret::new("k").expose(), "k");
    /// ```
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The key in plain text, for the code that sends or signs with it.
    ///
    /// ```
    /// assert_eq!(settings::Secret::new("k").expose(), "k");
    /// ```
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether the key has at least `MIN_KEY_CHARS` characters, all of them printable ASCII.
    ///
    /// ```
    /// assert!(!settings::Secret::new("sesame").is_valid());
    /// ```
    pub fn is_valid(&self) -> bool {
        self.0.len() >= MIN_KEY_CHARS && self.0.bytes().all(|byte| byte.is_ascii_graphic())
    }

    /// Compares in constant time; the time depends only on the lengths.
    ///
    /// ```
    /// assert!(settings::Secret::new("k").matches("k"));
    /// assert!(!settings::Secret::new("k").matches("l"));
    /// ```
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(REDACTED)
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(REDACTED)
    }
}
