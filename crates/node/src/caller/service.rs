//! Forwarding of calls to plain services.

use super::{Caller, Failure, body};
use crate::Error;
use crate::app::App;
use crate::dispatch;
use backend::{Call, Reply};
use rocket::data::Data;
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::response::{Responder, Response};
use rocket::route::{Handler, Outcome, Route};
use std::io::Cursor;
use std::sync::Arc;

/// Route of plain services: the service's name, followed by a path at the service.
const PATH: &str = "/v1/services/<name>/<path..>";

const PREFIX: &str = "/v1/services/";

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

const METHODS: [Method; 6] = [
    Method::Delete,
    Method::Get,
    Method::Head,
    Method::Patch,
    Method::Post,
    Method::Put,
];

/// Forwards calls of any method.
#[derive(Clone)]
struct Forwarder;

/// Returns the routes of plain services.
pub(super) fn routes() -> Vec<Route> {
    METHODS
        .into_iter()
        .map(|method| Route::new(method, PATH, Forwarder))
        .collect()
}

#[rocket::async_trait]
impl Handler for Forwarder {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match forward(request, data).await {
            Ok(reply) => Outcome::from(request, Answer(reply)),
            Err(error) => Outcome::from(request, Failure(error)),
        }
    }
}

async fn forward(request: &Request<'_>, data: Data<'_>) -> Result<Reply, Error> {
    let caller = match request.guard::<Caller>().await {
        rocket::outcome::Outcome::Success(caller) => caller,
        rocket::outcome::Outcome::Error((Status::ServiceUnavailable, ())) => {
            return Err(Error::Starting);
        }
        _ => return Err(Error::Unauthenticated),
    };
    let app = request
        .rocket()
        .state::<Arc<App>>()
        .ok_or(Error::Stopping)?;
    let (service, path) = parse_target(request)?;
    let limit = app.settings.body_limit_bytes as usize;
    let call = Call {
        method: request.method().as_str().to_owned(),
        path,
        body: body::read(data, limit, app.settings.header_timeout).await?,
        content_type: request.content_type().map(ToString::to_string),
        idempotency_key: idempotency_key(request)?,
        ..Call::default()
    };
    let invocation = dispatch::Invocation { service, call };
    dispatch::service(app, &caller.customer, invocation).await
}

/// Returns the service's name, and the path at the service with the query, both exactly as the
/// caller sent them.
fn parse_target(request: &Request<'_>) -> Result<(String, String), Error> {
    let uri = request.uri().to_string();
    let rest = uri.strip_prefix(PREFIX).ok_or(Error::NotFound)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let lower = path.to_ascii_lowercase();
    // With a dot segment, the path could match a repeatable route here and another at the service.
    if lower
        .split(['/', '?'])
        .any(|part| matches!(part, "." | ".."))
        || lower.contains("%2e")
        || lower.contains("%2f")
    {
        return Err(Error::Malformed(
            "the path may not hold dot segments".into(),
        ));
    }
    Ok((service.to_owned(), format!("/{path}")))
}

fn idempotency_key(request: &Request<'_>) -> Result<Option<String>, Error> {
    let Some(key) = request.headers().get_one("Idempotency-Key") else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Error::Malformed(format!(
            "an Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes"
        )));
    }
    Ok(Some(key.to_owned()))
}

/// Response of a plain service, forwarded to the caller.
struct Answer(Reply);

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let Reply {
            status,
            content_type,
            body,
        } = self.0;
        let mut response = Response::build();
        response
            .status(Status::new(status))
            .sized_body(body.len(), Cursor::new(body));
        if let Some(content_type) = content_type {
            response.raw_header("Content-Type", content_type);
        }
        response.ok()
    }
}
