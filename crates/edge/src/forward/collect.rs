//! Buffers responses of backend servers.

use super::exchange::Exchange;
use super::headers::strip_response;
use crate::body::Body;
use crate::upstream;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest error response that is buffered, in bytes.
const MAX_ERROR_BYTES: usize = 256 << 10;
/// Longest time for which the body of an error response is read.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Buffers a response; none if it ends early or is too large.
pub async fn collect(response: upstream::Response) -> Option<Response<Body>> {
    collect_within(response, MAX_RESPONSE_BYTES).await
}

/// Buffers an error response; none if it ends early, is too large or takes too long. Its status is
/// known already, so the request doesn't wait for a body that may have no end.
pub async fn collect_error(
    exchange: &Exchange,
    response: upstream::Response,
) -> Option<Response<Body>> {
    let until = (Instant::now() + ERROR_BODY_TIMEOUT).min(exchange.deadline);
    let collecting = collect_within(response, MAX_ERROR_BYTES);
    match timeout_at(until.into(), collecting).await {
        Ok(response) => response,
        Err(_) => {
            log::debug!(event = 1736; "the body of an error response has no end in time");
            None
        }
    }
}

async fn collect_within(
    mut response: upstream::Response,
    max_bytes: usize,
) -> Option<Response<Body>> {
    let collected = Limited::new(&mut response.body, max_bytes).collect().await;
    let body = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            log::debug!(event = 1736; "can't read the response of a backend server: {error}");
            return None;
        }
    };
    let mut response = Response::from_parts(response.head, Body::full(body));
    strip_response(response.headers_mut());
    Some(response)
}
