//! Requests whose response is a stream of events.

use super::attempt::{Attempt, Delivery, Failure, send};
use super::collect::collect_error;
use super::escalate::escalate;
use super::event::{Decoder, Event};
use super::exchange::Exchange;
use super::forward::next_attempt;
use super::headers::strip_response;
use super::refusal::{Refusal, promises_not_run};
use super::wait::{Deadlines, Wait, wait};
use crate::app::App;
use crate::body::{Body, Truncated};
use crate::{inflight, upstream};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response::Parts;
use route::pool::Outcome;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Events that are buffered for a caller that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 16;
/// Fraction of the longest pause between events after which a failover from a silent backend server
/// is tried. The rest of the pause is left to the other server for reading the prompt.
const SILENT_RATIO: f64 = 0.5;
/// The same for a backend server that sends events for other requests. If it has preempted this one,
/// it resumes it sooner than another server reads the whole prompt.
const BUSY_RATIO: f64 = 1.6;
/// The stream of one backend server.
struct Source {
    response: Box<upstream::Response>,
    attempt: Attempt,
    decoder: Decoder,
}

/// What a stream yields next.
enum Item {
    Event(Event),
    /// The stream has ended as its backend server intended.
    End,
    /// The stream broke off or fell silent. Holds the attempt to resume with, if one is reserved.
    Interrupted(Option<Attempt>),
}

impl Source {
    fn new(response: Box<upstream::Response>, attempt: Attempt) -> Self {
        Self {
            response,
            attempt,
            decoder: Decoder::default(),
        }
    }
}

/// Reads the next event of a stream, or how the stream ends.
async fn read_item(response: &mut upstream::Response, decoder: &mut Decoder) -> Item {
    loop {
        if let Some(event) = decoder.next() {
            return Item::Event(event);
        }
        if decoder.is_too_long() {
            return Item::Interrupted(None);
        }
        match response.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    decoder.push(&bytes);
                }
            }
            None if !decoder.is_partial() => return Item::End,
            None => return Item::Interrupted(None),
            Some(Err(error)) => {
                log::debug!(event = 1741; "can't read the stream of a backend server: {error}");
                return Item::Interrupted(None);
            }
        }
    }
}

/// What a stream yields next. After its deadline a failover to another backend server is tried.
async fn next_item(
    app: &Arc<App>,
    exchange: &Exchange,
    source: &mut Source,
    deadlines: Deadlines,
) -> Item {
    let Source {
        response,
        attempt,
        decoder,
    } = source;
    let reading = read_item(response, decoder);
    match wait(app, exchange, attempt, deadlines, reading).await {
        Wait::Done(item) => item,
        Wait::Failover(next) => Item::Interrupted(Some(next)),
        Wait::Expired => Item::Interrupted(None),
    }
}

/// Outcome of the phase before the caller has received anything.
enum First {
    /// A stream with its first event.
    Stream(Source, Event),
    /// A complete response: an error, or a stream without events.
    Complete(Response<Body>),
}

/// Serves a request whose response is a stream.
pub async fn serve(
    app: &Arc<App>,
    mut exchange: Exchange,
    guard: inflight::Guard,
) -> Result<Response<Body>, Refusal> {
    let (source, event) = match first(app, &mut exchange).await? {
        First::Stream(source, event) => (source, event),
        First::Complete(response) => return Ok(response),
    };
    let mut head = Response::new(());
    *head.status_mut() = source.response.head.status;
    *head.headers_mut() = source.response.head.headers.clone();
    strip_response(head.headers_mut());
    let (events, body) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let app = Arc::clone(app);
    tokio::spawn(async move {
        let _guard = guard;
        relay(&app, exchange, source, event, events).await;
    });
    Ok(head.map(|()| Body::Stream(body)))
}

/// Sends the request until a backend server delivers a first event or a complete response.
async fn first(app: &Arc<App>, exchange: &mut Exchange) -> Result<First, Refusal> {
    let mut failed_response: Option<Response<Body>> = None;
    let mut reserved = None;
    loop {
        let has_failed = failed_response.is_some();
        let attempt = match next_attempt(app, exchange, &mut reserved, has_failed).await {
            Ok(attempt) => attempt,
            Err(refusal) => return failed_response.map(First::Complete).ok_or(refusal),
        };
        let failover_at = first_event_deadline(app, exchange);
        let (response, mut attempt) = match send(app, exchange, attempt, failover_at).await {
            Delivery::NotRun => continue,
            Delivery::Unknown => {
                exchange.may_have_run = true;
                continue;
            }
            Delivery::Failover(attempt) => {
                exchange.may_have_run = true;
                reserved = Some(attempt);
                continue;
            }
            Delivery::Response(response, attempt) => (response, attempt),
        };
        exchange.may_have_run = true;
        let status = response.head.status;
        if !status.is_success() {
            attempt.fail(exchange, &Failure::Status(status.as_u16()));
            drop(attempt);
            if !promises_not_run(status) {
                let response = collect_error(app, exchange, *response).await;
                failed_response = response.or(failed_response);
            }
            continue;
        }
        let mut source = Source::new(response, attempt);
        let deadlines = Deadlines::uniform(failover_at);
        let item = next_item(app, exchange, &mut source, deadlines).await;
        if let Item::Event(_) = item {
            app.state()
                .record_answer_begin(Instant::now(), &exchange.work);
            // The outcome of a probe is known, so the request may be sent again like any other.
            exchange.is_probe = false;
        }
        match item {
            Item::Event(event) => match escalate(app, exchange, &source.response.head.headers) {
                None => return Ok(First::Stream(source, event)),
                Some(larger) => {
                    // A discarded response says nothing of the version.
                    source.attempt.set_outcome(Outcome::Unknown);
                    exchange.tried_servers.pop();
                    reserved = Some(larger);
                }
            },
            Item::End => {
                source.attempt.set_outcome(Outcome::Succeeded);
                let head = source.response.head.clone();
                return Ok(First::Complete(complete(head, Bytes::new())));
            }
            Item::Interrupted(next) => {
                source
                    .attempt
                    .fail(exchange, &interruption(exchange, &next));
                reserved = next;
            }
        }
    }
}

/// Why a stream was interrupted: an attempt is only reserved after a timeout.
fn interruption(exchange: &Exchange, reserved: &Option<Attempt>) -> Failure {
    match reserved {
        Some(_) => Failure::TimedOut,
        None if exchange.remaining().is_zero() => Failure::Late,
        None => Failure::Truncated,
    }
}

fn complete(head: Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::from_parts(head, Body::full(body));
    strip_response(response.headers_mut());
    response
}

/// Time from which a failover is tried if no event has arrived.
fn first_event_deadline(app: &App, exchange: &Exchange) -> Instant {
    let time = exchange.model.as_ref().map_or(1.0, |model| model.time);
    let tokens = exchange.work.prompt_tokens * time;
    let estimator = app.state().pool.estimator(&exchange.service);
    let patience = estimator.first_event_timeout(tokens, exchange.route.target_latency);
    (Instant::now() + patience).min(exchange.deadline)
}

/// Passes the events on to the caller and resumes the stream on another backend server if it is
/// interrupted.
async fn relay(
    app: &Arc<App>,
    mut exchange: Exchange,
    mut source: Source,
    first: Event,
    events: mpsc::Sender<Result<Bytes, Truncated>>,
) {
    let mut item = Item::Event(first);
    loop {
        match item {
            // `wait` never reaches the deadline while events arrive without a pause.
            Item::Event(_) if Instant::now() >= exchange.deadline => {
                source.attempt.fail(&exchange, &Failure::Unfinished);
                drop(source);
                return cut(&exchange, events).await;
            }
            Item::Event(event) => {
                source.attempt.record_event();
                let duplicate = event.id.is_some() && event.id <= exchange.last_event_id;
                if event.id.is_some() && !duplicate {
                    exchange.last_event_id = event.id;
                }
                if !duplicate {
                    let sending = events.send(Ok(event.bytes));
                    match timeout_at(exchange.deadline.into(), sending).await {
                        Ok(Ok(())) => (),
                        Ok(Err(_)) => return log_disconnect(&exchange),
                        Err(_) => {
                            // The caller reads too slowly, which says nothing of the backend server.
                            drop(source);
                            return cut(&exchange, events).await;
                        }
                    }
                }
            }
            Item::End => {
                source.attempt.set_outcome(Outcome::Succeeded);
                log::info!(event = 1742, request = exchange.log_id(), server = source.attempt.server_id().as_str(),
                    events = source.attempt.event_count(), events_ms = source.attempt.stream_time().as_millis() as u64,
                    took_ms = exchange.received.elapsed().as_millis() as u64; "stream ended");
                return;
            }
            Item::Interrupted(reserved) => {
                source
                    .attempt
                    .fail(&exchange, &interruption(&exchange, &reserved));
                drop(source);
                let resumed = tokio::select! {
                    resumed = resume(app, &mut exchange, reserved) => resumed,
                    () = events.closed() => return log_disconnect(&exchange),
                };
                let Some(resumed) = resumed else {
                    log::warn!(event = 1743, request = exchange.log_id(), sends = exchange.attempts; "stream aborted: can't be resumed");
                    return truncate(&exchange, events).await;
                };
                source = resumed;
            }
        }
        let deadlines = event_deadlines(&exchange);
        item = tokio::select! {
            item = next_item(app, &exchange, &mut source, deadlines) => item,
            () = events.closed() => return log_disconnect(&exchange),
        };
    }
}

/// Ends a stream at the deadline of its request.
async fn cut(exchange: &Exchange, events: mpsc::Sender<Result<Bytes, Truncated>>) {
    log::warn!(event = 1768, request = exchange.log_id(), sends = exchange.attempts,
        last_event = exchange.last_event_id.unwrap_or(0); "stream cut: it has no end by its deadline");
    truncate(exchange, events).await;
}

/// Ends a stream so that its caller notices that it is incomplete. The events are dropped only with their
/// receiver, since the body would look complete otherwise.
async fn truncate(exchange: &Exchange, events: mpsc::Sender<Result<Bytes, Truncated>>) {
    let ending = async {
        // Sending fails only if the caller has disconnected.
        let _ = events.send(Err(Truncated)).await;
        events.closed().await;
    };
    let closer = &exchange.closer;
    closer.close_after(exchange.deadline, ending).await;
}

fn log_disconnect(exchange: &Exchange) {
    log::info!(event = 1744, request = exchange.log_id(), last_event = exchange.last_event_id.unwrap_or(0); "caller disconnected");
}

/// Times from which a failover is tried while the next event is awaited.
fn event_deadlines(exchange: &Exchange) -> Deadlines {
    let pause = exchange.route.max_event_gap;
    if pause.is_zero() {
        return Deadlines::uniform(exchange.deadline);
    }
    let now = Instant::now();
    Deadlines {
        silent: (now + pause.mul_f64(SILENT_RATIO)).min(exchange.deadline),
        busy: (now + pause.mul_f64(BUSY_RATIO)).min(exchange.deadline),
    }
}

/// Resumes a stream on another backend server, after the last event that the caller has received.
async fn resume(
    app: &Arc<App>,
    exchange: &mut Exchange,
    mut reserved: Option<Attempt>,
) -> Option<Source> {
    loop {
        if Instant::now() >= exchange.deadline || !exchange.route.kind.is_retryable() {
            return None;
        }
        let attempt = next_attempt(app, exchange, &mut reserved, false)
            .await
            .ok()?;
        let failover_at = first_event_deadline(app, exchange);
        let (response, mut attempt) = match send(app, exchange, attempt, failover_at).await {
            Delivery::Response(response, attempt) => (response, attempt),
            Delivery::Failover(next) => {
                reserved = Some(next);
                continue;
            }
            Delivery::NotRun | Delivery::Unknown => continue,
        };
        if response.head.status.is_success() {
            return Some(Source::new(response, attempt));
        }
        attempt.fail(exchange, &Failure::Status(response.head.status.as_u16()));
    }
}
