//! Handles a received request up to its response.

use super::attempt::{Attempt, start_attempt};
use super::buffered::Answer;
use super::exchange::{Choice, Exchange};
use super::headers::{remaining_time, text};
use super::refusal::Refusal;
use super::{buffer, buffered, passthrough, stream};
use crate::app::App;
use crate::body::Body;
use crate::memory::Charge;
use crate::{inflight, metrics};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};
use limits::poison::Admission;
use limits::retry::Purpose;
use platform::header;
use rand::Rng;
use route::cascade::Sizes;
use route::config::Route;
use route::pool;
use route::table;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Fraction of the route's target time for which a request waits for a backend server with free
/// capacity.
const QUEUE_TIME_RATIO: f64 = 0.12;
/// Longest time between two checks while a request waits: the end of a quarantine wakes nobody.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of the caller's remaining time for which a node that has just started holds a request.
/// Most likely the node reads its tables meanwhile, and a caller that is refused may not retry.
const STARTUP_HOLD_RATIO: f64 = 1.0 / 6.0;
/// Longest time for which a node that has just started holds a request.
const MAX_STARTUP_HOLD: Duration = Duration::from_secs(2);
/// Number of requests in flight above which none is held.
const MAX_HELD_REQUESTS: usize = 256;

/// Forwards a request and returns the response for the caller.
pub async fn forward(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let guard = app.in_flight.track();
    let request_id = request.headers().get(header::ATTEMPT).cloned();
    let log_id = request_id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let mut kind = "none";
    let result = tokio::select! {
        result = serve(&app, received, request, guard, &mut kind) => result,
        // It may have been sent.
        () = app.grace_over.notified() => Err(Refusal::DeadlineExceeded),
    };
    let took_ms = received.elapsed().as_millis() as u64;
    let (revision, members, stopping, retry_after) = {
        let state = app.state();
        let revision = state.routes.config().revision;
        let now = Instant::now();
        (
            revision,
            state.members.alive(now).count(),
            state.stopping,
            state.retry_after(now),
        )
    };
    app.metrics
        .response_seconds
        .observe(received.elapsed().as_secs_f64());
    let count = |status, refusal| {
        let label = metrics::Request {
            kind,
            status,
            refusal,
        };
        app.metrics.requests.get_or_create(&label).inc();
    };
    match result {
        Ok(response) => {
            count(response.status().as_u16(), "");
            log::info!(event = 1730, request = log_id.as_str(), status = response.status().as_u16(),
                took_ms = took_ms, revision = revision; "answered");
            response
        }
        Err(refusal) => {
            count(refusal.status().as_u16(), refusal.name());
            log::warn!(event = 1739, request = log_id.as_str(), took_ms = took_ms, revision = revision,
                members = members, stopping = stopping, return_ms = retry_after.as_millis() as u64; "refused: {refusal}");
            refusal.response(request_id.as_ref(), retry_after)
        }
    }
}

async fn serve(
    app: &Arc<App>,
    received: Instant,
    request: Request<Incoming>,
    guard: inflight::Guard,
    kind: &mut &'static str,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    wait_for_tables(app, received, &parts.headers).await;
    let routes = {
        let state = app.state();
        if state.draining || !state.configured() {
            return Err(Refusal::Unavailable);
        }
        Arc::clone(&state.routes)
    };
    let host = text(&parts.headers, HOST.as_str());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = routes
        .route(host, parts.uri.path())
        .map_err(table_refusal)?;
    *kind = route.kind.name();
    let key = text(&parts.headers, header::KEY);
    let customer = routes.customer(route, key).map_err(table_refusal)?;
    let limits = &routes.config().limits;
    let time = body_timeout(&parts.headers, route);
    let body = read_body(app, body, limits.max_body_bytes, time).await?;
    if app.state().draining {
        // It would be cut at the end of the grace period. Nothing has been sent.
        return Err(Refusal::Unavailable);
    }
    let mut exchange = Exchange::new(received, parts, body, Arc::clone(route), customer);
    log::info!(event = 1733, request = exchange.log_id(), route = exchange.route.name.as_str(),
        customer = customer.map_or("-", |customer| customer.name.as_str()), session = exchange.session.as_deref().unwrap_or("-"),
        revision = routes.config().revision, left_ms = exchange.remaining().as_millis() as u64; "received");
    let draw = rand::rng().random();
    let service = exchange
        .route
        .choose_service(draw)
        .ok_or(Refusal::Unavailable)?;
    exchange.service = service.to_owned();
    app.state().count_request(received, &exchange.service);
    if exchange.allows_any_model() {
        exchange.model = initial_model(&exchange.route);
    }
    if exchange.route.kind.is_stream() {
        return stream::serve(app, exchange, guard).await;
    }
    let deadline = exchange.deadline;
    let result = timeout_at(deadline.into(), buffered::serve(app, &mut exchange)).await;
    let may_have_run = exchange.may_have_run || exchange.attempts > 0;
    match result {
        Ok(Ok(Answer::Complete(response))) => Ok(response),
        Ok(Ok(Answer::Partial(partial))) => Ok(passthrough::start(app, exchange, *partial, guard)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) if may_have_run => Err(Refusal::DeadlineExceeded),
        Err(_) => Err(Refusal::Unavailable),
    }
}

/// Holds a request for a while if the node has yet to read its tables.
async fn wait_for_tables(app: &App, received: Instant, headers: &hyper::HeaderMap) {
    let remaining = remaining_time(headers).unwrap_or_default();
    let until = received + remaining.mul_f64(STARTUP_HOLD_RATIO).min(MAX_STARTUP_HOLD);
    while Instant::now() < until {
        if !app.state().awaits_tables() || app.in_flight.count() > MAX_HELD_REQUESTS {
            return;
        }
        let _ = timeout(RECHECK_INTERVAL, app.capacity_changed.notified()).await;
    }
}

/// The model that is asked first.
fn initial_model(route: &Route) -> Option<Choice> {
    let sizes = Sizes::new(&route.models, &[]);
    let name = sizes.smallest()?;
    Some(Choice {
        name: name.to_owned(),
        time: sizes.relative_time(name),
    })
}

fn table_refusal(error: table::Error) -> Refusal {
    match error {
        table::Error::NoRoute => Refusal::NoRoute,
        table::Error::InvalidKey => Refusal::Unauthenticated,
    }
}

/// Longest time that the caller may take to send the body.
fn body_timeout(headers: &hyper::HeaderMap, route: &Route) -> Duration {
    let remaining = remaining_time(headers);
    remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout))
}

async fn read_body(
    app: &App,
    mut body: Incoming,
    max_bytes: usize,
    time: Duration,
) -> Result<(Bytes, Charge), Refusal> {
    let reading = buffer::read(&mut body, max_bytes, app.memory.charge());
    match timeout(time, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(buffer::Error::TooLarge(_))) => Err(Refusal::BodyTooLarge),
        Ok(Err(buffer::Error::Exhausted(_))) => Err(Refusal::OutOfMemory),
        Ok(Err(buffer::Error::Truncated(_))) => Err(Refusal::Malformed),
        Err(_) => Err(Refusal::BodyTimeout),
    }
}

/// The next attempt of a request: the reserved one if there is one, else a new one, for which the
/// request waits a little while no backend server has free capacity. Gives up if the request may
/// not be sent again.
pub async fn next_attempt(
    app: &Arc<App>,
    exchange: &mut Exchange,
    reserved: &mut Option<Attempt>,
    has_failed_response: bool,
) -> Result<Attempt, Refusal> {
    if let Some(attempt) = reserved.take() {
        return Ok(attempt);
    }
    let expired = Instant::now() >= exchange.deadline;
    let refusal = match exchange.may_have_run {
        true if expired => Refusal::DeadlineExceeded,
        true => Refusal::Failed,
        false => Refusal::Unavailable,
    };
    if expired {
        return Err(refusal);
    }
    if let Some(refusal) = blocked(app, exchange) {
        return Err(refusal);
    }
    if let Some(reason) = retry_denial(app, exchange) {
        return Err(give_up(exchange, &reason, refusal));
    }
    let reason = match wait_for_server(app, exchange, has_failed_response).await {
        Ok(attempt) => return Ok(attempt),
        Err(reason) => reason,
    };
    if exchange.attempts > 0 {
        app.return_retry(&exchange.service);
    }
    let refusal = match (&reason, refusal) {
        (pool::Refusal::Paused(left), Refusal::Unavailable) => Refusal::Paused(*left),
        (_, refusal) => refusal,
    };
    Err(give_up(exchange, &reason, refusal))
}

/// Starts an attempt, for which the request waits a little while no backend server has free capacity.
async fn wait_for_server(
    app: &Arc<App>,
    exchange: &Exchange,
    has_failed_response: bool,
) -> Result<Attempt, pool::Refusal> {
    let queue_time = exchange.route.target_latency.mul_f64(QUEUE_TIME_RATIO);
    let started = Instant::now();
    let until = (started + queue_time).min(exchange.deadline);
    loop {
        let reason = match start_attempt(app, exchange) {
            Ok(attempt) => {
                app.metrics
                    .queue_seconds
                    .observe(started.elapsed().as_secs_f64());
                return Ok(attempt);
            }
            Err(reason) => reason,
        };
        let now = Instant::now();
        let is_paused = matches!(reason, pool::Refusal::Paused(left) if now + left > until);
        if has_failed_response || is_paused || now >= until {
            return Err(reason);
        }
        // The wake-up may go to a waiting request that the freed backend server doesn't suit, so the
        // others check again after the interval.
        let _ = timeout(RECHECK_INTERVAL, app.capacity_changed.notified()).await;
    }
}

/// The refusal of a request that, or a part of which, crashes backend servers.
fn blocked(app: &App, exchange: &mut Exchange) -> Option<Refusal> {
    if exchange.is_probe && exchange.attempts == 0 {
        return None;
    }
    let (fingerprint, work) = (&exchange.fingerprint, &exchange.work);
    let admission = app.state().admit(Instant::now(), fingerprint, work);
    match admission {
        Admission::Open => None,
        Admission::Probe => {
            exchange.is_probe = true;
            log::info!(event = 1794, request = exchange.log_id(); "sent as a probe of a blocked prompt part");
            None
        }
        Admission::Blocked(left) => {
            log::warn!(event = 1745, request = exchange.log_id(), left_ms = left.as_millis() as u64;
                "request blocked: it crashes backend servers");
            Some(match exchange.may_have_run {
                true => Refusal::Failed,
                false => Refusal::Blocked(left),
            })
        }
    }
}

/// Why a request isn't sent again.
#[derive(Debug, thiserror::Error)]
enum Denial {
    #[error("the request may have run and isn't repeatable")]
    NotRepeatable,
    #[error("all attempts of the route are used")]
    Attempts,
    #[error("the retry budget is used up")]
    Budget,
}

/// Checks whether a request may be sent again and, if so, takes a retry from the budget. Returns the
/// reason if it may not.
fn retry_denial(app: &App, exchange: &mut Exchange) -> Option<Denial> {
    if exchange.attempts == 0 {
        // No backend server has received the request, so another attempt is no retry for them.
        return None;
    }
    if exchange.may_have_run && !exchange.route.kind.is_retryable() {
        return Some(Denial::NotRepeatable);
    }
    if exchange.attempts >= exchange.max_attempts() {
        return Some(Denial::Attempts);
    }
    if std::mem::take(&mut exchange.retry_granted) {
        return None;
    }
    let granted = app.take_retry(&exchange.service, Purpose::Recovery);
    (!granted).then_some(Denial::Budget)
}

fn give_up(exchange: &Exchange, reason: &impl std::fmt::Display, refusal: Refusal) -> Refusal {
    log::info!(event = 1738, request = exchange.log_id(), service = exchange.service.as_str(),
        sends = exchange.attempts; "giving up: {reason}");
    refusal
}
