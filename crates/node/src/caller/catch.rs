//! Error responses to requests that reach no route handler, or whose handler panics.

use super::Failure;
use crate::Error;
use rocket::Request;
use rocket::http::Status;

/// Returns catchers that give all such responses the body of [`Failure`].
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![error_response]
}

#[rocket::catch(default)]
fn error_response(status: Status, _request: &Request<'_>) -> Failure {
    Failure(match status.code {
        401 => Error::Unauthenticated,
        404 => Error::NotFound,
        500 => Error::Internal,
        503 => Error::Starting,
        _ => Error::Malformed(format!("refused with status {}", status.code)),
    })
}
