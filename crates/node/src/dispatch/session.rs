//! Sessions as signed tokens, which any node honours without a look-up.

use crate::Error;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use contract::{CustomerId, ModelId, VersionId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// What a session keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Session {
    /// Customer to whom the session belongs.
    pub customer: CustomerId,
    /// Model of the session.
    pub model: ModelId,
    /// Version of the session.
    pub version: VersionId,
}

/// Signs session tokens with the first key and accepts all keys.
#[derive(Clone, Default)]
pub struct Signer {
    keys: Vec<Vec<u8>>,
}

impl Signer {
    /// Takes the keys, the one to sign with first.
    ///
    /// ```
    /// use node::dispatch::{Session, Signer};
    /// let signer = Signer::new(["a key"]);
    /// let session = Session {
    ///     customer: "c".into(),
    ///     model: "small".into(),
    ///     version: "1".into(),
    /// };
    /// let token = signer.sign(&session);
    /// assert_eq!(signer.verify(&token)?, session);
    /// assert!(Signer::new(["another key"]).verify(&token).is_err());
    /// # Ok::<(), node::Error>(())
    /// ```
    pub fn new<'a>(keys: impl IntoIterator<Item = &'a str>) -> Self {
        let keys = keys
            .into_iter()
            .map(|key| key.as_bytes().to_vec())
            .collect();
        Self { keys }
    }

    /// Signs a session; an empty text without keys.
    pub fn sign(&self, session: &Session) -> String {
        let Some(mut mac) = self.keys.first().and_then(|key| keyed(key)) else {
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

    /// Reads a token that one of the keys has signed. The tag is compared in constant time.
    pub fn verify(&self, token: &str) -> Result<Session, Error> {
        let (payload, tag) = token.split_once('.').ok_or(Error::Session)?;
        let payload = decode(payload)?;
        let tag = decode(tag)?;
        let signed = self
            .keys
            .iter()
            .filter_map(|key| keyed(key))
            .any(|mac| mac.chain_update(&payload).verify_slice(&tag).is_ok());
        if !signed {
            return Err(Error::Session);
        }
        serde_json::from_slice(&payload).map_err(|_| Error::Session)
    }
}

fn keyed(key: &[u8]) -> Option<Hmac<Sha256>> {
    Hmac::new_from_slice(key).ok()
}

fn decode(text: &str) -> Result<Vec<u8>, Error> {
    URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Session)
}
