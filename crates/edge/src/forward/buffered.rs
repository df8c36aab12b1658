//! Requests whose response is buffered completely before it is passed on.

use super::attempt::{Deadlines, Delivery, Failure, Wait, send, wait};
use super::exchange::Exchange;
use super::forward::next_attempt;
use super::headers::strip_response;
use super::refusal::Refusal;
use crate::app::App;
use crate::body::Body;
use crate::upstream;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use route::config::Kind;
use route::pool::Outcome;
use std::sync::Arc;
use std::time::Instant;

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Serves a request whose response is buffered.
pub async fn serve(app: &Arc<App>, exchange: &mut Exchange) -> Result<Response<Body>, Refusal> {
    let mut failed_response = None;
    let mut reserved = None;
    loop {
        let has_failed = failed_response.is_some();
        let attempt = match next_attempt(app, exchange, &mut reserved, has_failed).await {
            Ok(attempt) => attempt,
            // A backend server's error response takes precedence over the node's own refusal.
            Err(refusal) => return failed_response.ok_or(refusal),
        };
        let failover_at = failover_time(exchange);
        match send(app, exchange, attempt, failover_at).await {
            Delivery::NotRun => (),
            Delivery::Unknown => exchange.may_have_run = true,
            Delivery::Failover(attempt) => {
                exchange.may_have_run = true;
                reserved = Some(attempt);
            }
            Delivery::Response(response, mut attempt) => {
                exchange.may_have_run = true;
                let server_error = response.head.status.is_server_error();
                let deadlines = Deadlines::uniform(failover_at);
                let collecting = collect(*response);
                let response = match wait(app, exchange, &attempt, deadlines, collecting).await {
                    Wait::Done(Some(response)) => response,
                    failed => {
                        if let Wait::Failover(next) = failed {
                            reserved = Some(next);
                        }
                        attempt.fail(exchange, &Failure::Truncated);
                        continue;
                    }
                };
                if !server_error {
                    app.state()
                        .record_answer_begin(Instant::now(), &exchange.work);
                    attempt.record_response();
                    attempt.set_outcome(Outcome::Succeeded);
                    return Ok(response);
                }
                let status = response.status().as_u16();
                attempt.fail(exchange, &Failure::Status(status));
                // Callers take these statuses to mean that the request hasn't run. Those of a
                // backend server don't guarantee it.
                if !matches!(status, 408 | 421 | 429 | 503) {
                    failed_response = Some(response);
                }
            }
        }
    }
}

/// Time from which a failover is tried. If the request is repeatable, a silent backend server leaves
/// enough time for another one.
fn failover_time(exchange: &Exchange) -> Instant {
    if exchange.route.kind != Kind::Idempotent {
        return exchange.deadline;
    }
    let now = Instant::now();
    let remaining = exchange.deadline.saturating_duration_since(now);
    now + (exchange.route.target_latency * 2).min(remaining / 2)
}

/// Buffers a response; none if it ends early or is too large.
async fn collect(mut response: upstream::Response) -> Option<Response<Body>> {
    let collected = Limited::new(&mut response.body, MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body: Bytes = match collected {
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
