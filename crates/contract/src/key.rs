//! Bearer keys, which are kept only as digests.

use crate::Key;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

impl Key {
    /// Makes the digest of a bearer key.
    ///
    /// ```
    /// let key = contract::Key::new("k1", "secret");
    /// assert!(key.matches("secret"));
    /// assert!(!key.matches("secret "));
    /// ```
    pub fn new(id: &str, secret: &str) -> Self {
        Self {
            id: id.to_owned(),
            sha256: Self::digest(secret),
        }
    }

    /// Hexadecimal digest under which a secret is kept.
    ///
    /// ```
    /// assert_eq!(contract::Key::digest("").len(), 64);
    /// ```
    pub fn digest(secret: &str) -> String {
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(secret.as_bytes()) {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Compares in constant time.
    ///
    /// ```
    /// assert!(contract::Key::new("k1", "a").matches("a"));
    /// ```
    pub fn matches(&self, secret: &str) -> bool {
        let digest = Self::digest(secret);
        digest.as_bytes().ct_eq(self.sha256.as_bytes()).into()
    }
}
