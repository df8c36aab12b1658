//! Requests whose answer is a stream of events.

use super::attempt::{Failure, Patience, Place, Sent, Waited, place, send, wait};
use super::event::{Event, Events};
use super::forward::find;
use super::headers::{number, strip_hop_by_hop};
use super::exchange::Exchange;
use super::refusal::Refusal;
use crate::app::App;
use crate::body::{Body, Truncated};
use crate::inflight;
use crate::upstream;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response::Parts;
use platform::header;
use route::pool::Outcome;
use route::size;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Events that wait for a caller that reads slowly.
const MAX_WAITING: usize = 16;
/// Part of the longest pause after which a silent backend server is given up for another: the rest
/// is for the other to read the prompt.
const SILENCE: f64 = 0.5;
/// The same for a backend server that gives events to other requests: one that has preempted the
/// request goes on with it sooner than another reads the whole prompt.
const BUSY: f64 = 1.6;
/// Part of the target after which a backend server without a first event is given up.
const FIRST_EVENT: f64 = 0.6;

/// A stream from one backend server.
struct Source {
    answer: Box<upstream::Response>,
    place: Place,
    events: Events,
}

/// What a stream gives next.
enum Item {
    Event(Event),
    /// The end as its backend server meant it.
    End,
    /// It broke off or fell silent; where it goes on, if there is a place already.
    Broken(Option<Place>),
}

impl Source {
    fn new(answer: Box<upstream::Response>, place: Place) -> Self {
        Self {
            answer,
            place,
            events: Events::default(),
        }
    }
}

/// The next event of a stream, or how it ends.
async fn next(answer: &mut upstream::Response, events: &mut Events) -> Item {
    loop {
        if let Some(event) = events.next() {
            return Item::Event(event);
        }
        if events.is_too_long() {
            return Item::Broken(None);
        }
        match answer.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    events.push(&bytes);
                }
            }
            None if !events.is_partial() => return Item::End,
            None => return Item::Broken(None),
            Some(Err(error)) => {
                log::debug!(event = 1741; "stream of a backend server: {error}");
                return Item::Broken(None);
            }
        }
    }
}

/// What a stream gives next. One that takes longer than patience allows is left for another place,
/// where there is one.
async fn next_item(app: &Arc<App>, exchange: &Exchange, source: &mut Source, patience: Patience) -> Item {
    let Source {
        answer,
        place,
        events,
    } = source;
    match wait(app, exchange, place, patience, next(answer, events)).await {
        Waited::Done(item) => item,
        Waited::Elsewhere(place) => Item::Broken(Some(place)),
        Waited::Over => Item::Broken(None),
    }
}

/// What came before a caller got anything.
enum First {
    /// A stream with its first event.
    Stream(Source, Event),
    /// A whole answer: a failure, or a stream without events.
    Whole(Response<Body>),
}

/// Serves a request whose answer is a stream.
pub async fn serve(
    app: &Arc<App>,
    mut exchange: Exchange,
    guard: inflight::Guard,
) -> Result<Response<Body>, Refusal> {
    let (source, event) = match first(app, &mut exchange).await? {
        First::Stream(source, event) => (source, event),
        First::Whole(response) => return Ok(response),
    };
    let mut head = Response::new(());
    *head.status_mut() = source.answer.head.status;
    *head.headers_mut() = source.answer.head.headers.clone();
    strip_hop_by_hop(head.headers_mut());
    let (events, body) = mpsc::channel(MAX_WAITING);
    let app = Arc::clone(app);
    tokio::spawn(async move {
        let _guard = guard;
        relay(&app, exchange, source, event, events).await;
    });
    Ok(head.map(|()| Body::Stream(body)))
}

async fn first(app: &Arc<App>, exchange: &mut Exchange) -> Result<First, Refusal> {
    let mut failure: Option<Response<Body>> = None;
    let mut next = None;
    loop {
        let place = match find(app, exchange, &mut next, failure.is_some()).await {
            Ok(place) => place,
            Err(refusal) => return failure.map(First::Whole).ok_or(refusal),
        };
        let until = first_until(exchange);
        let (answer, place) = match send(app, exchange, place, until).await {
            Sent::NotRun => continue,
            Sent::Unknown => {
                exchange.may_have_run = true;
                continue;
            }
            Sent::Elsewhere(place) => {
                exchange.may_have_run = true;
                next = Some(place);
                continue;
            }
            Sent::Answer(answer, place) => (answer, place),
        };
        exchange.may_have_run = true;
        let status = answer.head.status;
        let mut source = Source::new(answer, place);
        if !status.is_success() {
            source.place.fail(exchange, &Failure::Status(status.as_u16()));
            if !matches!(status.as_u16(), 408 | 421 | 429 | 503) {
                failure = failed(source).await.or(failure);
            }
            continue;
        }
        match next_item(app, exchange, &mut source, Patience::until(until)).await {
            Item::Event(event) => match escalate(app, exchange, &source) {
                None => return Ok(First::Stream(source, event)),
                Some(better) => {
                    // A dropped answer says nothing of the version.
                    source.place.note(Outcome::Unknown);
                    exchange.tried_servers.pop();
                    next = Some(better);
                }
            },
            Item::End => {
                source.place.note(Outcome::Sound);
                let head = source.answer.head.clone();
                return Ok(First::Whole(whole(head, Bytes::new())));
            }
            Item::Broken(place) => {
                source.place.fail(exchange, &broken(&place));
                next = place;
            }
        }
    }
}

/// A place for a better model, where the present one thinks too little of its answer and there is
/// room and budget.
fn escalate(app: &Arc<App>, exchange: &mut Exchange, source: &Source) -> Option<Place> {
    if exchange.attempts >= exchange.route.attempts || !exchange.route.kind.repeatable() {
        return None;
    }
    let confidence = number(&source.answer.head.headers, header::CONFIDENCE)?;
    let (model, _) = exchange.model.as_ref()?;
    let crowding = app.state().pool.crowding(&exchange.service);
    let better = size::escalate(&exchange.route.sizes, model, confidence, crowding)?;
    if !app.state().take_spare_retry(Instant::now(), &exchange.service) {
        return None;
    }
    let pace = size::pace(&exchange.route.sizes, better);
    let present = exchange.model.replace((better.to_owned(), pace));
    let last = exchange.tried_servers.pop();
    let place = place(app, exchange);
    exchange.tried_servers.extend(last);
    if place.is_err() {
        exchange.model = present;
    }
    place.ok()
}

/// Why a stream goes on elsewhere: a place is there already when it was silent.
fn broken(place: &Option<Place>) -> Failure {
    match place {
        Some(_) => Failure::Silent,
        None => Failure::Broken,
    }
}

/// The whole answer of a backend server that failed.
async fn failed(source: Source) -> Option<Response<Body>> {
    let body = source.answer.body.collect().await.ok()?;
    Some(whole(source.answer.head.clone(), body.to_bytes()))
}

fn whole(head: Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::from_parts(head, Body::full(body));
    strip_hop_by_hop(response.headers_mut());
    response
}

/// Until when a backend server may take for its first event.
fn first_until(exchange: &Exchange) -> Instant {
    (Instant::now() + exchange.route.target.mul_f64(FIRST_EVENT)).min(exchange.deadline)
}

/// Passes events on, from another backend server where one breaks off.
async fn relay(
    app: &Arc<App>,
    mut exchange: Exchange,
    mut source: Source,
    first: Event,
    events: mpsc::Sender<Result<Bytes, Truncated>>,
) {
    let mut next = Item::Event(first);
    loop {
        match next {
            Item::Event(event) => {
                source.place.event();
                let known = event.id.is_some() && event.id <= exchange.last_event_id;
                if event.id.is_some() && !known {
                    exchange.last_event_id = event.id;
                }
                if !known && events.send(Ok(event.bytes)).await.is_err() {
                    return left(&exchange);
                }
            }
            Item::End => {
                source.place.note(Outcome::Sound);
                log::info!(event = 1742, request = exchange.log_id(), server = source.place.id().as_str(),
                    events = source.place.events(), events_ms = source.place.events_time().as_millis() as u64,
                    took_ms = exchange.received.elapsed().as_millis() as u64; "stream ended");
                return;
            }
            Item::Broken(place) => {
                source.place.fail(&exchange, &broken(&place));
                drop(source);
                let again = tokio::select! {
                    again = resume(app, &mut exchange, place) => again,
                    () = events.closed() => return left(&exchange),
                };
                let Some(again) = again else {
                    log::warn!(event = 1743, request = exchange.log_id(), sends = exchange.attempts; "stream given up");
                    // The caller is gone if this fails, and needs no word.
                    let _ = events.send(Err(Truncated)).await;
                    return;
                };
                source = again;
            }
        }
        let patience = patience(&exchange);
        next = tokio::select! {
            item = next_item(app, &exchange, &mut source, patience) => item,
            () = events.closed() => return left(&exchange),
        };
    }
}

fn left(exchange: &Exchange) {
    log::info!(event = 1744, request = exchange.log_id(), last_event = exchange.last_event_id.unwrap_or(0); "caller left");
}

/// How long the next event of a stream is waited for.
fn patience(exchange: &Exchange) -> Patience {
    let pause = exchange.route.pause;
    if pause.is_zero() {
        return Patience::until(exchange.deadline);
    }
    let now = Instant::now();
    Patience {
        silent: (now + pause.mul_f64(SILENCE)).min(exchange.deadline),
        busy: (now + pause.mul_f64(BUSY)).min(exchange.deadline),
    }
}

/// Goes on with a stream at another backend server, after the last event that the caller has.
async fn resume(app: &Arc<App>, exchange: &mut Exchange, mut next: Option<Place>) -> Option<Source> {
    loop {
        if Instant::now() >= exchange.deadline || !exchange.route.kind.repeatable() {
            return None;
        }
        let place = find(app, exchange, &mut next, false).await.ok()?;
        let until = first_until(exchange);
        let (answer, mut place) = match send(app, exchange, place, until).await {
            Sent::Answer(answer, place) => (answer, place),
            Sent::Elsewhere(place) => {
                next = Some(place);
                continue;
            }
            Sent::NotRun | Sent::Unknown => continue,
        };
        if answer.head.status.is_success() {
            return Some(Source::new(answer, place));
        }
        place.fail(exchange, &Failure::Status(answer.head.status.as_u16()));
    }
}
