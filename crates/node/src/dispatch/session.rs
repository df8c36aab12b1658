//! Sessions as signed tokens, which any node can verify without a lookup.

use crate::Error;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use contract::{CustomerId, ModelId, VersionId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use settings::{Keyring, Secret};
use sha2::Sha256;

/// Model version that a customer's session is pinned to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Session {
    /// Customer that owns the session.
    pub customer: CustomerId,
    /// Model of the session.
    pub model: ModelId,
    /// Version of the session.
    pub version: VersionId,
}

/// Signs session tokens with the first key of a keyring and verifies them with any key.
#[derive(Clone, Default)]
pub struct Signer {
    keys: Keyring,
}

impl Signer {
    /// Creates a signer. The first key signs; the keys may change while the signer is in use.
    ///
    /// ```
    /// use node::dispatch::{Session, Signer};
    /// # use settings::{Keyring, Secret};
    /// let signer = Signer::new(Keyring::new(vec![Secret::new("a key")]));
    /// let session = Session {
    ///     customer: "c".into(),
    ///     model: "small".into(),
    ///     version: "1".into(),
    /// };
    /// let token = signer.sign(&session);
    /// assert_eq!(signer.verify(&token)?, session);
    /// let other = Signer::new(Keyring::new(vec![Secret::new("another key")]));
    /// assert!(other.verify(&token).is_err());
    /// # Ok::<(), node::Error>(())
    /// ```
    pub fn new(keys: Keyring) -> Self {
        Self { keys }
    }

    /// Signs a session. Returns an empty string if there are no keys.
    pub fn sign(&self, session: &Session) -> String {
        let Some(mut mac) = self.keys.keys().first().and_then(mac_for) else {
            return String::new();
        };
        let payload = serde_json::to_vec(session).unwrap_or_default();
        mac.update(&payload);
        let tag = mac.finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(payload),
            URL_SAFE_NO_PAD.encode(tag)
        )
    }

    /// Verifies a token and returns its session. The tag is compared in constant time.
    pub fn verify(&self, token: &str) -> Result<Session, Error> {
        let (payload, tag) = token.split_once('.').ok_or(Error::Session)?;
        let payload = decode(payload)?;
        let tag = decode(tag)?;
        let signed = self
            .keys
            .keys()
            .iter()
            .filter_map(mac_for)
            .any(|mac| mac.chain_update(&payload).verify_slice(&tag).is_ok());
        if !signed {
            return Err(Error::Session);
        }
        serde_json::from_slice(&payload).map_err(|_| Error::Session)
    }
}

fn mac_for(key: &Secret) -> Option<Hmac<Sha256>> {
    Hmac::new_from_slice(key.expose().as_bytes()).ok()
}

fn decode(text: &str) -> Result<Vec<u8>, Error> {
    URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Session)
}
