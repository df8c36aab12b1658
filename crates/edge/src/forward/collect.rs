//! Buffers responses of backend servers.

use super::buffer::{self, Error};
use super::exchange::Exchange;
use super::headers::strip_response;
use crate::app::App;
use crate::body::Body;
use crate::upstream;
use hyper::Response;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest error response that is buffered, in bytes.
const MAX_ERROR_BYTES: usize = 256 << 10;
/// Longest time for which the body of an error response is read.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Buffers a response.
pub async fn collect(app: &App, response: upstream::Response) -> Result<Response<Body>, Error> {
    collect_within(app, response, MAX_RESPONSE_BYTES).await
}

/// Buffers an error response; none if it ends early, is too large or takes too long. Its status is
/// known already, so the request doesn't wait for a body that may have no end.
pub async fn collect_error(
    app: &App,
    exchange: &Exchange,
    response: upstream::Response,
) -> Option<Response<Body>> {
    let until = (Instant::now() + ERROR_BODY_TIMEOUT).min(exchange.deadline);
    let collecting = collect_within(app, response, MAX_ERROR_BYTES);
    match timeout_at(until.into(), collecting).await {
        Ok(response) => response.ok(),
        Err(_) => {
            log::debug!(event = 1737; "the body of an error response has no end in time");
            None
        }
    }
}

async fn collect_within(
    app: &App,
    mut response: upstream::Response,
    max_bytes: usize,
) -> Result<Response<Body>, Error> {
    let charge = app.memory.revocable_charge();
    let read = buffer::read(&mut response.body, max_bytes, charge).await;
    let (body, charge) = read.inspect_err(|error| {
        log::debug!(event = 1736; "can't read the response of a backend server: {error}");
    })?;
    let mut response = Response::from_parts(response.head, Body::charged(body, charge));
    strip_response(response.headers_mut());
    Ok(response)
}
