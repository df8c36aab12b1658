//! Answers for requests that reach no route.

use super::Failure;
use crate::Error;
use rocket::Request;
use rocket::http::Status;

/// Catchers that give every refusal the same body.
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![refuse]
}

#[rocket::catch(default)]
fn refuse(status: Status, _request: &Request<'_>) -> Failure {
    Failure(match status.code {
        401 => Error::Unauthenticated,
        404 => Error::NotFound,
        500 => Error::Internal,
        503 => Error::Starting,
        _ => Error::Malformed(format!("refused with status {}", status.code)),
    })
}
