//! Keys shared by nodes, which can be changed while the node runs.

use crate::Secret;
use std::sync::{Arc, PoisonError, RwLock};

/// Most keys in a keyring.
pub const MAX_KEYS: usize = 8;

/// Why a keyring can't be changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The key isn't in the keyring.
    #[error("the key must be added before it is used")]
    NotFound,
    /// The key is in use.
    #[error("the key is in use: use another one first")]
    InUse,
    /// The keyring holds as many keys as it may.
    #[error("the ring holds {MAX_KEYS} keys already: remove one first")]
    Full,
    /// The key is too short or holds other characters.
    #[error(
        "a key has at least {} printable characters",
        crate::spec::MIN_KEY_CHARS
    )]
    InvalidKey,
}

/// Keys of which the first is used to send or sign, and all are accepted. Clones share their keys.
///
/// A key is changed on all nodes in three steps: add the new one, use it, remove the old one.
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
    /// A keyring of keys, the one in use first.
    ///
    /// ```
    /// assert!(settings::Keyring::new(Vec::new()).keys().is_empty());
    /// ```
    pub fn new(keys: Vec<Secret>) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(keys))))
    }

    /// The keys, the one in use first.
    ///
    /// ```
    /// let keyring = settings::Keyring::new(vec![settings::Secret::new("k")]);
    /// assert_eq!(keyring.keys()[0].expose(), "k");
    /// ```
    pub fn keys(&self) -> Arc<Vec<Secret>> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Accepts a key. A key that is accepted already is no error.
    ///
    /// ```
    /// let keyring = settings::Keyring::default();
    /// assert_eq!(keyring.add(settings::Secret::new("short")), Err(settings::keyring::Error::InvalidKey));
    /// ```
    pub fn add(&self, key: Secret) -> Result<(), Error> {
        if !key.is_valid() {
            return Err(Error::InvalidKey);
        }
        self.change(|keys| {
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

    /// Sends or signs with an accepted key from now on.
    ///
    /// ```
    /// let keyring = settings::Keyring::default();
    /// assert_eq!(keyring.set_primary("a-key-of-no-keyring"), Err(settings::keyring::Error::NotFound));
    /// ```
    pub fn set_primary(&self, key: &str) -> Result<(), Error> {
        self.change(|keys| {
            let index = keys.iter().position(|one| one.matches(key));
            let selected = keys.remove(index.ok_or(Error::NotFound)?);
            keys.insert(0, selected);
            Ok(())
        })
    }

    /// Accepts a key no more. A key that isn't accepted is no error.
    ///
    /// ```
    /// let keyring = settings::Keyring::new(vec![settings::Secret::new("the-key-in-use-now")]);
    /// assert_eq!(keyring.remove("the-key-in-use-now"), Err(settings::keyring::Error::InUse));
    /// ```
    pub fn remove(&self, key: &str) -> Result<(), Error> {
        self.change(|keys| {
            if keys.first().is_some_and(|first| first.matches(key)) {
                return Err(Error::InUse);
            }
            keys.retain(|one| !one.matches(key));
            Ok(())
        })
    }

    fn change(
        &self,
        change: impl FnOnce(&mut Vec<Secret>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let mut keys = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut changed = keys.as_ref().clone();
        change(&mut changed)?;
        *keys = Arc::new(changed);
        Ok(())
    }
}
