//! Authentication of operators.

use super::Error;
use crate::app::App;
use crate::caller::bearer_key;
use contract::{Config, Key};
use rocket::http::Status;
use rocket::outcome::Outcome;
use rocket::request::{FromRequest, Request};
use settings::Secret;
use std::sync::Arc;
use std::time::Instant;
use subtle::{Choice, ConstantTimeEq};

/// Operator name logged for keys from the settings.
const BOOTSTRAP_NAME: &str = "bootstrap";

/// An operator, authenticated by a bearer key from the settings or from an `access` object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name of the `access` object, or `bootstrap` for a key from the settings.
    pub name: String,
}

impl Operator {
    /// Returns the operator that a key belongs to. Compares it with all known keys, each in
    /// constant time.
    ///
    /// ```
    /// use node::operator::Operator;
    /// let keys = [settings::Secret::new("the-key-of-an-operator")];
    /// let config = contract::Config::default();
    /// assert!(Operator::authenticate(&keys, &config, "the-key-of-an-operator").is_some());
    /// assert!(Operator::authenticate(&keys, &config, "the-key-of-nobody").is_none());
    /// ```
    pub fn authenticate(bootstrap: &[Secret], config: &Config, key: &str) -> Option<Self> {
        let digest = Key::digest(key);
        let mut name = None;
        for secret in bootstrap {
            if matches(&Key::digest(secret.expose()), &digest) {
                name = Some(BOOTSTRAP_NAME);
            }
        }
        for access in config.operators() {
            let known = access.keys.iter().fold(Choice::from(0), |known, key| {
                known | key.sha256.as_bytes().ct_eq(digest.as_bytes())
            });
            if known.into() {
                name = Some(access.name.as_str());
            }
        }
        name.map(|name| Self {
            name: name.to_owned(),
        })
    }
}

fn matches(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = Error;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, (Status, Error), Status> {
        let Some(app) = request.rocket().state::<Arc<App>>() else {
            return Outcome::Error((Status::ServiceUnavailable, Error::Starting));
        };
        let config = app.config();
        if config.revision() == 0 && app.replica.may_start(Instant::now()).is_err() {
            return Outcome::Error((Status::ServiceUnavailable, Error::Starting));
        }
        let keys = &app.settings.operator_key;
        let found = bearer_key(request).and_then(|key| Self::authenticate(keys, &config, key));
        match found {
            Some(operator) => Outcome::Success(operator),
            None => {
                log::warn!(event = 1602; "operator request without a valid key refused");
                Outcome::Error((Status::Unauthorized, Error::Unauthenticated))
            }
        }
    }
}
