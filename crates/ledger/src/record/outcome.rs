//! Outcome of a call, as returned to repeated calls.

use super::{Settings, key::digest};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The stored answer of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Headers to include in repeated answers.
    pub headers: Vec<(String, String)>,
    /// Hexadecimal SHA-256 of the body.
    pub digest: String,
    /// The body in base64; absent if it exceeded the size limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
}

impl Outcome {
    /// Creates the outcome from an answer.
    ///
    /// ```
    /// use ledger::record::{Settings, Outcome};
    /// let outcome = Outcome::new(201, Vec::new(), b"booked", &Settings::default());
    /// assert_eq!(outcome.body().unwrap(), "booked");
    /// let settings = Settings { body_limit_bytes: 3, ..Settings::default() };
    /// assert!(Outcome::new(201, Vec::new(), b"booked", &settings).body().is_none());
    /// ```
    pub fn new(
        status: u16,
        headers: Vec<(String, String)>,
        body: &[u8],
        settings: &Settings,
    ) -> Self {
        let fits = body.len() <= settings.body_limit_bytes;
        Self {
            status,
            headers,
            digest: digest([body]),
            body: fits.then(|| STANDARD.encode(body)),
        }
    }

    /// The body, unless it exceeded the size limit.
    pub fn body(&self) -> Option<Bytes> {
        let text = self.body.as_deref()?;
        STANDARD.decode(text).ok().map(Bytes::from)
    }
}
