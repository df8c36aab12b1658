//! Catchers for operator requests that no route handles.

use super::Error;
use rocket::Request;
use rocket::http::Status;

/// Returns the catchers, which give every error response the same body format.
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![to_error]
}

#[rocket::catch(default)]
fn to_error(status: Status, request: &Request<'_>) -> Error {
    match status.code {
        401 => Error::Unauthenticated,
        500 => Error::Internal,
        503 => Error::Starting,
        404 => Error::UnknownPath(request.uri().path().to_string()),
        _ => Error::Http(status),
    }
}
