//! Requests with a whole answer.

use super::attempt::{Failure, Patience, Sent, Waited, send, wait};
use super::forward::find;
use super::headers::strip_hop_by_hop;
use super::exchange::Exchange;
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

/// Longest answer that is kept as a whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Serves a request whose answer is passed on as a whole.
pub async fn serve(app: &Arc<App>, exchange: &mut Exchange) -> Result<Response<Body>, Refusal> {
    let mut failure = None;
    let mut next = None;
    loop {
        let place = match find(app, exchange, &mut next, failure.is_some()).await {
            Ok(place) => place,
            // An answer that a backend server gave goes before words of the node's own.
            Err(refusal) => return failure.ok_or(refusal),
        };
        let until = until(exchange);
        match send(app, exchange, place, until).await {
            Sent::NotRun => (),
            Sent::Unknown => exchange.may_have_run = true,
            Sent::Elsewhere(place) => {
                exchange.may_have_run = true;
                next = Some(place);
            }
            Sent::Answer(answer, mut place) => {
                exchange.may_have_run = true;
                let failed = answer.head.status.is_server_error();
                let patience = Patience::until(until);
                let whole = match wait(app, exchange, &place, patience, collect(*answer)).await {
                    Waited::Done(Some(whole)) => whole,
                    waited => {
                        if let Waited::Elsewhere(place) = waited {
                            next = Some(place);
                        }
                        place.fail(exchange, &Failure::Broken);
                        continue;
                    }
                };
                if !failed {
                    place.whole();
                    place.note(Outcome::Sound);
                    return Ok(whole);
                }
                place.fail(exchange, &Failure::Status(whole.status().as_u16()));
                // 503 says that a request hasn't run: a backend server's own doesn't.
                if !matches!(whole.status().as_u16(), 408 | 421 | 429 | 503) {
                    failure = Some(whole);
                }
            }
        }
    }
}

/// Until when one backend server is waited for. Where the request may be repeated, a silent one
/// leaves time for another.
fn until(exchange: &Exchange) -> Instant {
    if exchange.route.kind != Kind::Idempotent {
        return exchange.deadline;
    }
    let now = Instant::now();
    let left = exchange.deadline.saturating_duration_since(now);
    now + (exchange.route.target * 2).min(left / 2)
}

/// The whole answer; none when it breaks off.
async fn collect(mut answer: upstream::Response) -> Option<Response<Body>> {
    let whole = Limited::new(&mut answer.body, MAX_ANSWER).collect().await;
    let body: Bytes = match whole {
        Ok(whole) => whole.to_bytes(),
        Err(error) => {
            log::debug!(event = 1736; "answer of a backend server: {error}");
            return None;
        }
    };
    let mut response = Response::from_parts(answer.head, Body::full(body));
    strip_hop_by_hop(response.headers_mut());
    Some(response)
}
