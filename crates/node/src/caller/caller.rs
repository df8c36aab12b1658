//! Authentication of callers.

use crate::app::App;
use contract::CustomerId;
use rocket::http::Status;
use rocket::outcome::Outcome;
use rocket::request::{FromRequest, Request};
use std::sync::Arc;

const SCHEME: &str = "Bearer ";

/// Caller who was authenticated by a bearer key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Customer that owns the key.
    pub customer: CustomerId,
}

/// Returns the bearer key of a request.
pub(crate) fn bearer_key<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request
        .headers()
        .get_one("Authorization")?
        .strip_prefix(SCHEME)
        .map(str::trim)
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, (Status, ()), Status> {
        let app = request.rocket().state::<Arc<App>>();
        let Some(app) = app.filter(|app| app.ready()) else {
            return Outcome::Error((Status::ServiceUnavailable, ()));
        };
        let customer = bearer_key(request).and_then(|key| app.customer_by_key(key));
        match customer {
            Some(customer) => Outcome::Success(Self { customer }),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
