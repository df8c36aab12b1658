//! Keys shared by nodes, which can be rotated without a restart.

use crate::Secret;
use std::sync::{Arc, PoisonError, RwLock};

/// Maximum number of keys in a keyring.
pub const MAX_KEYS: usize = 8;

/// Reason why a change of a keyring is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The key isn't in the keyring.
    #[error("the key must be added before it is used")]
    NotFound,
    /// The key is the primary one.
    #[error("the key is in use: use another one first")]
    InUse,
    /// The keyring already holds `MAX_KEYS` keys.
    #[error("the ring holds {MAX_KEYS} keys already: remove one first")]
    Full,
    /// The key is too short or contains characters that aren't printable ASCII.
    #[error(
        "a key has at least {} printable characters",
        crate::spec::MIN_KEY_CHARS
    )]
    InvalidKey,
}

/// A list of keys: the first, the primary key, is used to send or sign, and all are accepted. Clones
/// share their keys.
///
/// A key is rotated in three steps, each on all nodes before the next: add the new key, make it the
/// primary one, remove the old one.
///
/// ```
/// use settings::{Keyring, Secret};
/// let keyring = Keyring::new(vec![Secret::new("the-old-key-of-links")]);
/// keyring.add(Secret::new("the-new-key-of-links"))?;
/// keyring.set_primary("the-new-key-of-links")?;
/// keyring.remove("the-old-key-of-links")?;
/// assert_eq!(keyring.keys().len(), 1);
/// assert!(keyring.keys()[0].matches("the-new-key-of-links"));
/// # Ok::<(), settings::keyring::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Keyring(Arc<RwLock<Arc<Vec<Secret>>>>);

impl Keyring {
    /// Creates a keyring; the first key is the primary one.
    ///
    /// ```
    /// assert!(settings::Keyring::new(Vec::new()).keys().is_empty());
    /// ```
    pub fn new(keys: Vec<Secret>) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(keys))))
    }

    /// The keys, the primary one first.
    ///
    /// ```
    /// let keyring = settings::Keyring::new(vec![settings::Secret::new("k")]);
    /// assert_eq!(keyring.keys()[0].expose(), "k");
    /// ```
    pub fn keys(&self) -> Arc<Vec<Secret>> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a key to the accepted ones. Does nothing if it is already accepted.
    ///
    /// ```
    /// let keyring = settings::Keyring::default();
    /// assert_eq!(keyring.add(settings::Secret::new("short")), Err(settings::keyring::Error::InvalidKey));
    /// ```
    pub fn add(&self, key: Secret) -> Result<(), Error> {
        if !key.is_valid() {
            return Err(Error::InvalidKey);
        }
        self.update(|keys| {
            if keys.contains(&key) {
                return Ok(());
            }
            if keys.len() >= MAX_KEYS {
                return Err(Error::Full);
            }
            keys.push(key);
            Ok(())
        })
    }

    /// Makes an accepted key the primary one, which sends and signs from now on.
    ///
    /// ```
    /// let keyring = settings::Keyring::default();
    /// assert_eq!(keyring.set_primary("a-key-of-no-keyring"), Err(settings::keyring::Error::NotFound));
    /// ```
    pub fn set_primary(&self, key: &str) -> Result<(), Error> {
        self.update(|keys| {
            let index = keys.iter().position(|one| one.matches(key));
            let selected = keys.remove(index.ok_or(Error::NotFound)?);
            keys.insert(0, selected);
            Ok(())
        })
    }

    /// Removes a key, which is no longer accepted. Does nothing if it isn't in the keyring.
    ///
    /// ```
    /// let keyring = settings::Keyring::new(vec![settings::Secret::new("the-key-in-use-now")]);
    /// assert_eq!(keyring.remove("the-key-in-use-now"), Err(settings::keyring::Error::InUse));
    /// ```
    pub fn remove(&self, key: &str) -> Result<(), Error> {
        self.update(|keys| {
            if keys.first().is_some_and(|first| first.matches(key)) {
                return Err(Error::InUse);
            }
            keys.retain(|one| !one.matches(key));
            Ok(())
        })
    }

    fn update(
        &self,
        update: impl FnOnce(&mut Vec<Secret>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let mut keys = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut updated = keys.as_ref().clone();
        update(&mut updated)?;
        *keys = Arc::new(updated);
        Ok(())
    }
}
