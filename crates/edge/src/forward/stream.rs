//! Requests whose answer is a stream of events.

use super::attempt::{Failure, Patience, Place, Sent, Waited, place, send, wait};
use super::event::{Event, Events};
use super::forward::find;
use super::headers::{number, strip_hop_by_hop};
use super::job::Job;
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
async fn next_item(app: &Arc<App>, job: &Job, source: &mut Source, patience: Patience) -> Item {
    let Source {
        answer,
        place,
        events,
    } = source;
    match wait(app, job, place, patience, next(answer, events)).await {
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
    mut job: Job,
    guard: inflight::Guard,
) -> Result<Response<Body>, Refusal> {
    let (source, event) = match first(app, &mut job).await? {
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
        relay(&app, job, source, event, events).await;
    });
    Ok(head.map(|()| Body::Stream(body)))
}

async fn first(app: &Arc<App>, job: &mut Job) -> Result<First, Refusal> {
    let mut failure: Option<Response<Body>> = None;
    let mut next = None;
    loop {
        let place = match find(app, job, &mut next, failure.is_some()).await {
            Ok(place) => place,
            Err(refusal) => return failure.map(First::Whole).ok_or(refusal),
        };
        let until = first_until(job);
        let (answer, place) = match send(app, job, place, until).await {
            Sent::NotRun => continue,
            Sent::Unknown => {
                job.ran = true;
                continue;
            }
            Sent::Elsewhere(place) => {
                job.ran = true;
                next = Some(place);
                continue;
            }
            Sent::Answer(answer, place) => (answer, place),
        };
        job.ran = true;
        let status = answer.head.status;
        let mut source = Source::new(answer, place);
        if !status.is_success() {
            source.place.fail(job, &Failure::Status(status.as_u16()));
            if !matches!(status.as_u16(), 408 | 421 | 429 | 503) {
                failure = failed(source).await.or(failure);
            }
            continue;
        }
        match next_item(app, job, &mut source, Patience::until(until)).await {
            Item::Event(event) => match escalate(app, job, &source) {
                None => return Ok(First::Stream(source, event)),
                Some(better) => {
                    // A dropped answer says nothing of the version.
                    source.place.note(Outcome::Unknown);
                    job.tried.pop();
                    next = Some(better);
                }
            },
            Item::End => {
                source.place.note(Outcome::Sound);
                let head = source.answer.head.clone();
                return Ok(First::Whole(whole(head, Bytes::new())));
            }
            Item::Broken(place) => {
                source.place.fail(job, &broken(&place));
                next = place;
            }
        }
    }
}

/// A place for a better model, where the present one thinks too little of its answer and there is
/// room and budget.
fn escalate(app: &Arc<App>, job: &mut Job, source: &Source) -> Option<Place> {
    if job.sends >= job.route.attempts || !job.route.kind.repeatable() {
        return None;
    }
    let confidence = number(&source.answer.head.headers, header::CONFIDENCE)?;
    let (model, _) = job.model.as_ref()?;
    let crowding = app.state().pool.crowding(&job.service);
    let better = size::escalate(&job.route.sizes, model, confidence, crowding)?;
    if !app.state().take_spare_retry(Instant::now(), &job.service) {
        return None;
    }
    let pace = size::pace(&job.route.sizes, better);
    let present = job.model.replace((better.to_owned(), pace));
    let last = job.tried.pop();
    let place = place(app, job);
    job.tried.extend(last);
    if place.is_err() {
        job.model = present;
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
fn first_until(job: &Job) -> Instant {
    (Instant::now() + job.route.target.mul_f64(FIRST_EVENT)).min(job.limit)
}

/// Passes events on, from another backend server where one breaks off.
async fn relay(
    app: &Arc<App>,
    mut job: Job,
    mut source: Source,
    first: Event,
    events: mpsc::Sender<Result<Bytes, Truncated>>,
) {
    let mut next = Item::Event(first);
    loop {
        match next {
            Item::Event(event) => {
                source.place.event();
                let known = event.id.is_some() && event.id <= job.last_event;
                if event.id.is_some() && !known {
                    job.last_event = event.id;
                }
                if !known && events.send(Ok(event.bytes)).await.is_err() {
                    return left(&job);
                }
            }
            Item::End => {
                source.place.note(Outcome::Sound);
                log::info!(event = 1742, request = job.name(), server = source.place.id().as_str(),
                    events = source.place.events(), events_ms = source.place.events_time().as_millis() as u64,
                    took_ms = job.received.elapsed().as_millis() as u64; "stream ended");
                return;
            }
            Item::Broken(place) => {
                source.place.fail(&job, &broken(&place));
                drop(source);
                let again = tokio::select! {
                    again = resume(app, &mut job, place) => again,
                    () = events.closed() => return left(&job),
                };
                let Some(again) = again else {
                    log::warn!(event = 1743, request = job.name(), sends = job.sends; "stream given up");
                    // The caller is gone if this fails, and needs no word.
                    let _ = events.send(Err(Truncated)).await;
                    return;
                };
                source = again;
            }
        }
        let patience = patience(&job);
        next = tokio::select! {
            item = next_item(app, &job, &mut source, patience) => item,
            () = events.closed() => return left(&job),
        };
    }
}

fn left(job: &Job) {
    log::info!(event = 1744, request = job.name(), last_event = job.last_event.unwrap_or(0); "caller left");
}

/// How long the next event of a stream is waited for.
fn patience(job: &Job) -> Patience {
    let pause = job.route.pause;
    if pause.is_zero() {
        return Patience::until(job.limit);
    }
    let now = Instant::now();
    Patience {
        silent: (now + pause.mul_f64(SILENCE)).min(job.limit),
        busy: (now + pause.mul_f64(BUSY)).min(job.limit),
    }
}

/// Goes on with a stream at another backend server, after the last event that the caller has.
async fn resume(app: &Arc<App>, job: &mut Job, mut next: Option<Place>) -> Option<Source> {
    loop {
        if Instant::now() >= job.limit || !job.route.kind.repeatable() {
            return None;
        }
        let place = find(app, job, &mut next, false).await.ok()?;
        let until = first_until(job);
        let (answer, mut place) = match send(app, job, place, until).await {
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
        place.fail(job, &Failure::Status(answer.head.status.as_u16()));
    }
}
