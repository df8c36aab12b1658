//! Requests whose response is buffered completely before it is passed on.

use super::attempt::{Attempt, Delivery, Failure, send};
use super::collect::{Collected, Partial, collect, collect_error};
use super::exchange::Exchange;
use super::forward::next_attempt;
use super::refusal::{Refusal, promises_not_run};
use super::wait::{Deadlines, Wait, wait};
use crate::app::App;
use crate::body::Body;
use hyper::Response;
use route::config::Kind;
use route::pool::Outcome;
use std::sync::Arc;
use std::time::Instant;

/// The answer to a request.
pub enum Answer {
    /// A complete response.
    Complete(Response<Body>),
    /// The beginning of a response, and the attempt that the rest comes from.
    Partial(Box<(Partial, Attempt)>),
}

/// Serves a request whose response is buffered as far as there is memory for it.
pub async fn serve(app: &Arc<App>, exchange: &mut Exchange) -> Result<Answer, Refusal> {
    let mut failed_response = None;
    let mut reserved = None;
    loop {
        let has_failed = failed_response.is_some();
        let attempt = match next_attempt(app, exchange, &mut reserved, has_failed).await {
            Ok(attempt) => attempt,
            // A backend server's error response takes precedence over the node's own refusal.
            Err(refusal) => return failed_response.map(Answer::Complete).ok_or(refusal),
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
                let status = response.head.status;
                if status.is_server_error() || promises_not_run(status) {
                    attempt.fail(exchange, &Failure::Status(status.as_u16()));
                    drop(attempt);
                    if !promises_not_run(status) {
                        let response = collect_error(app, exchange, *response).await;
                        failed_response = response.or(failed_response);
                    }
                    continue;
                }
                let deadlines = Deadlines::uniform(failover_at);
                let collecting = collect(app, *response, exchange.is_repeatable());
                let collected = match wait(app, exchange, &attempt, deadlines, collecting).await {
                    Wait::Done(Ok(collected)) => collected,
                    Wait::Done(Err(error)) => {
                        attempt.fail(exchange, &error.into());
                        continue;
                    }
                    unfinished => {
                        if let Wait::Failover(next) = unfinished {
                            reserved = Some(next);
                        }
                        attempt.fail(exchange, &Failure::Late);
                        continue;
                    }
                };
                app.state()
                    .record_answer_begin(Instant::now(), &exchange.work);
                return Ok(match collected {
                    Collected::Complete(response) => {
                        attempt.record_response();
                        attempt.set_outcome(Outcome::Succeeded);
                        Answer::Complete(response)
                    }
                    // The time to its end depends on how its caller reads.
                    Collected::Partial(partial) => Answer::Partial(Box::new((partial, attempt))),
                });
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
