//! From a received request to its answer.

use super::attempt::{Place, place};
use super::headers::{text, remaining_time};
use super::exchange::Exchange;
use super::refusal::Refusal;
use super::{plain, stream};
use crate::app::App;
use crate::body::Body;
use crate::{inflight, metrics};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};
use limits::suspect::Verdict;
use platform::header;
use rand::Rng;
use route::config::Route;
use route::{size, table};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Part of the target time for which a request waits for a backend server to have room.
const PATIENCE: f64 = 0.12;
/// Longest time between two looks for a backend server: quarantines end unannounced.
const LOOK: Duration = Duration::from_millis(50);

/// Part of a caller's time for which a node that has just started holds a request: most likely it reads
/// its tables meanwhile, and a caller that is refused may not come back.
const HOLD_PART: f64 = 1.0 / 6.0;
/// Longest time for which it does.
const LONGEST_HOLD: Duration = Duration::from_secs(2);
/// Requests inside beyond which none is held.
const MAX_HELD: usize = 256;

/// Answers a request.
pub async fn forward(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let guard = app.inside.track();
    let id = request.headers().get(header::ATTEMPT).cloned();
    let name = id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let mut kind = "none";
    let answer = serve(&app, received, request, guard, &mut kind).await;
    let took = received.elapsed().as_millis() as u64;
    let (revision, members, stopping, return_time) = {
        let state = app.state();
        let revision = state.routes.config().revision;
        let now = Instant::now();
        (
            revision,
            state.members.alive(now).count(),
            state.stopping,
            state.return_time(now),
        )
    };
    app.metrics
        .answers
        .observe(received.elapsed().as_secs_f64());
    let count = |status, refusal| {
        let label = metrics::Request {
            kind,
            status,
            refusal,
        };
        app.metrics.requests.get_or_create(&label).inc();
    };
    match answer {
        Ok(response) => {
            count(response.status().as_u16(), "");
            log::info!(event = 1730, request = name.as_str(), status = response.status().as_u16(),
                took_ms = took, revision = revision; "answered");
            response
        }
        Err(refusal) => {
            count(refusal.status().as_u16(), refusal.name());
            log::warn!(event = 1739, request = name.as_str(), took_ms = took, revision = revision,
                members = members, stopping = stopping, return_ms = return_time.as_millis() as u64; "refused: {refusal}");
            refusal.answer(id.as_ref(), return_time)
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
    hold(app, received, &parts.headers).await;
    let routes = {
        let state = app.state();
        if state.finishing || !state.configured() {
            return Err(Refusal::NotNow);
        }
        Arc::clone(&state.routes)
    };
    let host = text(&parts.headers, HOST.as_str());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = routes.route(host, parts.uri.path()).map_err(refuse)?;
    *kind = route.kind.name();
    let key = text(&parts.headers, header::KEY);
    let customer = routes.customer(route, key).map_err(refuse)?;
    let limits = &routes.config().limits;
    let time = time_for_body(&parts.headers, route);
    let body = read(body, limits.body_bytes, time).await?;
    let mut exchange = Exchange::new(received, parts, body, Arc::clone(route), customer);
    let verdict = app.state().suspects.verdict(received, &exchange.fingerprint);
    if let Verdict::Refused(_) = verdict {
        log::warn!(event = 1745, request = exchange.log_id(); "request that ends backend servers");
        return Err(Refusal::NotNow);
    }
    log::info!(event = 1733, request = exchange.log_id(), route = exchange.route.name.as_str(),
        customer = customer.map_or("-", |customer| customer.name.as_str()), session = exchange.session.as_deref().unwrap_or("-"),
        revision = routes.config().revision, left_ms = exchange.remaining().as_millis() as u64; "received");
    let draw = rand::rng().random();
    let service = exchange.route.service(draw).ok_or(Refusal::NotNow)?;
    exchange.service = service.to_owned();
    app.state().count_request(received, &exchange.service);
    if exchange.allows_any_model() {
        exchange.model = choose_model(&exchange.route);
    }
    if exchange.route.kind.is_stream() {
        return stream::serve(app, exchange, guard).await;
    }
    let limit = exchange.deadline;
    let answer = timeout_at(limit.into(), plain::serve(app, &mut exchange)).await;
    let ran = exchange.may_have_run || exchange.attempts > 0;
    match answer {
        Ok(answer) => answer,
        Err(_) if ran => Err(Refusal::Late),
        Err(_) => Err(Refusal::NotNow),
    }
}

/// Holds a request for a while where the node has yet to read its tables.
async fn hold(app: &App, received: Instant, headers: &hyper::HeaderMap) {
    let left = remaining_time(headers).unwrap_or_default();
    let until = received + left.mul_f64(HOLD_PART).min(LONGEST_HOLD);
    while Instant::now() < until {
        if !app.state().awaits_tables() || app.inside.count() > MAX_HELD {
            return;
        }
        let _ = timeout(LOOK, app.room.notified()).await;
    }
}

/// The model that answers, with how many times the smallest one's time it takes.
fn choose_model(route: &Route) -> Option<(String, f64)> {
    let model = size::first(&route.sizes)?;
    Some((model.to_owned(), size::pace(&route.sizes, model)))
}

fn refuse(error: table::Error) -> Refusal {
    match error {
        table::Error::Route => Refusal::Route,
        table::Error::Key => Refusal::Key,
    }
}

fn time_for_body(headers: &hyper::HeaderMap, route: &Route) -> Duration {
    let left = remaining_time(headers);
    left.map_or(route.timeout, |left| left.min(route.timeout))
}

async fn read(body: Incoming, most: usize, time: Duration) -> Result<Bytes, Refusal> {
    match timeout(time, Limited::new(body, most).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::Long),
        Ok(Err(_)) => Err(Refusal::Improper),
        Err(_) => Err(Refusal::Slow),
    }
}

/// A place for the next send of a request: the one that it has, or one that is found, waiting a
/// little where none has room. A request that may not be sent again is given up.
pub async fn find(
    app: &Arc<App>,
    exchange: &mut Exchange,
    has: &mut Option<Place>,
    failed: bool,
) -> Result<Place, Refusal> {
    if let Some(place) = has.take() {
        return Ok(place);
    }
    let over = Instant::now() >= exchange.deadline;
    let gave_up = match exchange.may_have_run {
        true if over => Refusal::Late,
        true => Refusal::Failed,
        false => Refusal::NotNow,
    };
    if over {
        return Err(gave_up);
    }
    if let Some(end) = end_of_sends(app, exchange) {
        return Err(give_up(exchange, &end, gave_up));
    }
    let patience = exchange.route.target.mul_f64(PATIENCE);
    let begun = Instant::now();
    let until = (begun + patience).min(exchange.deadline);
    loop {
        match place(app, exchange) {
            Ok(place) => {
                app.metrics.waits.observe(begun.elapsed().as_secs_f64());
                return Ok(place);
            }
            Err(refusal) if failed || Instant::now() >= until => {
                return Err(give_up(exchange, &refusal, gave_up));
            }
            Err(_) => {
                // A wake-up may be meant for a request that another backend server suits.
                let _ = timeout(LOOK, app.room.notified()).await;
            }
        }
    }
}

/// Why a request isn't sent again.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("it may have run, and may not run again")]
    Ran,
    #[error("all attempts of the route are used")]
    Attempts,
    #[error("the budget of further sends is used")]
    Budget,
}

/// Whether a request that was sent before may not be sent again; else the send is counted.
fn end_of_sends(app: &App, exchange: &mut Exchange) -> Option<End> {
    if exchange.attempts == 0 {
        // No backend server has had it: what wasn't sent costs nobody anything.
        return None;
    }
    if exchange.may_have_run && !exchange.route.kind.repeatable() {
        return Some(End::Ran);
    }
    if exchange.attempts >= exchange.route.attempts.max(1) {
        return Some(End::Attempts);
    }
    if std::mem::take(&mut exchange.retry_granted) {
        return None;
    }
    let budget = app.state().take_retry(Instant::now(), &exchange.service);
    (!budget).then_some(End::Budget)
}

fn give_up(exchange: &Exchange, why: &impl std::fmt::Display, refusal: Refusal) -> Refusal {
    log::info!(event = 1738, request = exchange.log_id(), service = exchange.service.as_str(),
        sends = exchange.attempts; "no further place: {why}");
    refusal
}
