//! Answers for requests of operators that reach no route.

use super::Error;
use rocket::Request;
use rocket::http::Status;

/// Catchers that give every refusal the same body.
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![refuse]
}

#[rocket::catch(default)]
fn refuse(status: Status, request: &Request<'_>) -> Error {
    match status.code {
        401 => Error::Unauthenticated,
        500 => Error::Internal,
        503 => Error::Starting,
        404 => Error::UnknownPath(request.uri().path().to_string()),
        _ => Error::Http(status),
    }
}
