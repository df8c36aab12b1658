//! Idempotency keys.

use crate::Error;
use contract::CustomerId;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A customer's idempotency key and the digest of its request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Key {
    customer: CustomerId,
    key: String,
    digest: String,
}

impl Key {
    /// Creates a key. Fails if `key` is empty, too long or not printable ASCII.
    ///
    /// ```
    /// use ledger::record::Key;
    /// let one = Key::new("fraser", "hire-7", "POST", "/bookings", b"{}")?;
    /// let other = Key::new("fraser", "hire-7", "POST", "/bookings", b"{ }")?;
    /// assert_ne!(one.digest(), other.digest());
    /// assert!(Key::new("fraser", "hire 7", "POST", "/bookings", b"{}").is_ok());
    /// assert!(Key::new("fraser", "", "POST", "/bookings", b"{}").is_err());
    /// # Ok::<(), ledger::Error>(())
    /// ```
    pub fn new(
        customer: &str,
        key: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Self, Error> {
        let printable = key.bytes().all(|byte| matches!(byte, b' '..=b'~'));
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
            return Err(Error::Key {
                found: key.len(),
                limit: MAX_KEY_BYTES,
            });
        }
        Ok(Self {
            customer: customer.to_owned(),
            key: key.to_owned(),
            digest: digest([method.as_bytes(), path.as_bytes(), body]),
        })
    }

    /// Digest of method, path and body.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Partition and sort key of the run record. They don't depend on the request.
    pub(super) fn location(&self) -> (String, String) {
        (format!("run/{}", self.customer), self.key.clone())
    }
}

/// Hexadecimal SHA-256 of parts. Each part is prefixed with its length, so that different splits of
/// the same bytes have different digests.
pub(super) fn digest<const N: usize>(parts: [&[u8]; N]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut text = String::with_capacity(64);
    for byte in hasher.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
