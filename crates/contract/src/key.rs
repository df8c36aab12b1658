//! Bearer keys, stored only as SHA-256 digests.

use crate::Key;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

impl Key {
    /// Creates a key entry that stores the digest of the secret.
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

    /// Lower-case hexadecimal SHA-256 digest of a secret.
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

    /// Whether the secret has this key's digest. Compares in constant time, so that timing reveals
    /// nothing about the digest.
    ///
    /// ```
    /// assert!(contract::Key::new("k1", "a").matches("a"));
    /// ```
    pub fn matches(&self, secret: &str) -> bool {
        let digest = Self::digest(secret);
        digest.as_bytes().ct_eq(self.sha256.as_bytes()).into()
    }
}
