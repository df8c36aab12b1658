//! One send to a backend server, with what it tells of the server.

use super::headers::text;
use super::exchange::Exchange;
use crate::app::{App, Notice};
use crate::metrics;
use crate::upstream;
use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use platform::header;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::ServerId;
use route::pool::{self, Load, Outcome, Query, Reading, Refusal, Stage};
use route::server::Listing;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Events after which the pace of a stream is known.
const PACE_EVENTS: u32 = 3;
/// Pause between two looks for a place elsewhere.
const LOOK: Duration = Duration::from_millis(250);

/// Why a send didn't end well.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Nothing left: it hasn't run.
    #[error("nothing left: {0}")]
    NotSent(#[source] std::io::Error),
    /// It left, and no answer came.
    #[error("sent, and no answer came: {0}")]
    Lost(#[source] hyper::Error),
    /// It left, and nothing came for too long.
    #[error("silent for too long")]
    Silent,
    /// The backend server says that it hasn't run it.
    #[error("not run, status {0}")]
    NotRun(u16),
    /// The answer belongs to another request, is unsigned or is encoded.
    #[error("not an answer to it, status {0}")]
    Odd(u16),
    /// The answer broke off.
    #[error("the answer broke off")]
    Broken,
    /// The backend server failed.
    #[error("failed with status {0}")]
    Status(u16),
}

/// A request's place on a backend server, for as long as the value lives.
#[derive(Debug)]
pub struct Place {
    app: Arc<App>,
    /// The backend server.
    pub server: Box<Listing>,
    begun: Instant,
    outcome: Outcome,
    reading: Reading,
    load: Load,
    model: String,
    /// Whether its end says nothing of the version: the backend server was silent or away.
    unjudged: bool,
    first_event: Option<Instant>,
    events: u32,
}

impl Place {
    /// Notes how the send ended.
    pub fn note(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Notes why the send didn't end well.
    pub fn fail(&mut self, exchange: &Exchange, failure: &Failure) {
        self.outcome = match failure {
            Failure::NotRun(_) => Outcome::Full,
            _ => Outcome::Failed,
        };
        let mut state = self.app.state();
        let now = Instant::now();
        match failure {
            Failure::NotSent(_) => {
                self.unjudged = true;
                state.ended(now, &self.server.id);
            }
            Failure::Silent => {
                self.unjudged = true;
                state.silent(&self.server);
            }
            Failure::Lost(_) | Failure::Broken => {
                // A crash ends all requests on the backend server, and speaks once.
                self.unjudged = !state.pool.breaks(now, &self.server.id);
                state.lost(now, &exchange.fingerprint, &self.server.id);
            }
            _ => (),
        }
        drop(state);
        log::warn!(event = 1731, request = exchange.log_id(), server = self.server.id.as_str(),
            version = self.server.version.as_str(), sends = exchange.attempts,
            waited_ms = self.age().as_millis() as u64, last_event = exchange.last_event_id.unwrap_or(0),
            left_ms = exchange.remaining().as_millis() as u64; "send failed: {failure}");
    }

    /// Id of the backend server.
    pub fn id(&self) -> &ServerId {
        &self.server.id
    }

    /// Time since the send.
    pub fn age(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Events that came from it.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Time since the first event that came from it.
    pub fn events_time(&self) -> Duration {
        let first = self.first_event.map(|first| first.elapsed());
        first.unwrap_or_default()
    }

    /// Notes an event of a stream; the first says that the prompt was read.
    pub fn event(&mut self) {
        self.events += 1;
        self.app.state().pool.hear(Instant::now(), &self.server.id);
        match self.first_event {
            None => {
                self.first_event = Some(Instant::now());
                let reading = std::mem::take(&mut self.reading);
                let millis = self.age().as_secs_f64() * 1e3;
                let mut state = self.app.state();
                state.pool.prompt_read(&self.server.id, reading.own);
                state
                    .pool
                    .first_event(Instant::now(), &self.server, reading, millis);
                drop(state);
                self.time(Stage::First, self.age());
            }
            Some(first) if self.events == PACE_EVENTS => {
                self.time(Stage::Pace, first.elapsed() / (PACE_EVENTS - 1));
            }
            Some(_) => (),
        }
    }

    /// Notes the end of a whole answer.
    pub fn whole(&mut self) {
        self.time(Stage::Whole, self.age());
    }

    /// Notes how long a stage took.
    fn time(&mut self, stage: Stage, took: Duration) {
        let millis = took.as_secs_f64() * 1e3;
        let mut state = self.app.state();
        state.timed(Instant::now(), &self.server, &self.model, stage, millis);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let label = metrics::Send {
            service: self.server.service.clone(),
            outcome: match self.outcome {
                Outcome::Sound => "sound",
                Outcome::Failed => "failed",
                Outcome::Full => "full",
                Outcome::Unknown => "unknown",
            },
        };
        self.app.metrics.sends.get_or_create(&label).inc();
        let mut state = self.app.state();
        let mut rng = SmallRng::from_os_rng();
        state.pool.prompt_read(&self.server.id, self.reading.own);
        state.pool.end(
            Instant::now(),
            &self.server.id,
            self.load,
            self.outcome,
            &mut rng,
        );
        if !self.unjudged && matches!(self.outcome, Outcome::Sound | Outcome::Failed) {
            let bad = self.outcome == Outcome::Failed;
            state.answered(&self.server, bad);
        }
        drop(state);
        self.app.room.notify_one();
    }
}

/// What came of a send.
#[derive(Debug)]
pub enum Sent {
    /// An answer that the backend server stands for.
    Answer(Box<upstream::Response>, Place),
    /// It hasn't run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It may have run, took too long, and has a place elsewhere.
    Elsewhere(Place),
}

/// Chooses a backend server and counts the request there.
pub fn place(app: &Arc<App>, exchange: &Exchange) -> Result<Place, Refusal> {
    let now = Instant::now();
    let mut state = app.state();
    let query = Query {
        service: &exchange.service,
        model: exchange
            .model
            .as_ref()
            .map(|(model, pace)| (model.as_str(), *pace)),
        model_id: exchange
            .model
            .as_ref()
            .map_or(0, |(model, _)| pool::part_id(model)),
        work: &exchange.work,
        zone: &app.site.zone,
        tried: &exchange.tried_servers,
        draw: rand::rng().random(),
    };
    let server = state.pick(now, &query, exchange.log_id(), exchange.session.as_deref())?;
    let reading = state.pool.begin(now, &server.id, &query);
    let news = state.sent(now, &server, exchange.session.as_deref());
    let load = state
        .pool
        .servers()
        .get(&server.id)
        .map(|server| server.load());
    let age = state.list_age(now);
    drop(state);
    log::info!(event = 1732, request = exchange.log_id(), server = server.id.as_str(),
        version = server.version.as_str(), zone = server.zone.as_str(),
        model = query.model.map_or("-", |(model, _)| model),
        load = load.unwrap_or_default().requests, list_age_ms = age.as_millis() as u64,
        unread = (reading.own + reading.ahead) as u64, sends = exchange.attempts, left_ms = exchange.remaining().as_millis() as u64; "placed");
    if let (true, Some(session)) = (news, &exchange.session) {
        app.announce(Notice::Stay((session.clone(), server.version.clone())));
    }
    Ok(Place {
        app: Arc::clone(app),
        server: Box::new(server),
        begun: now,
        outcome: Outcome::Unknown,
        reading,
        load: pool::load_of(&query),
        model: exchange
            .model
            .as_ref()
            .map_or(String::new(), |(model, _)| model.clone()),
        unjudged: false,
        first_event: None,
        events: 0,
    })
}

/// What came of waiting for a backend server.
#[derive(Debug)]
pub enum Waited<T> {
    /// What was waited for.
    Done(T),
    /// It took too long, and there is a place for the request elsewhere.
    Elsewhere(Place),
    /// The time for the request is over.
    Over,
}

/// How long a backend server is waited for before a place elsewhere is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until when one that gives nothing at all is waited for.
    pub silent: Instant,
    /// Until when one is waited for that has just given something to another request: it is busy,
    /// and another one would have to read the prompt again.
    pub busy: Instant,
}

impl Patience {
    /// The same whether the backend server is silent or busy.
    pub fn until(until: Instant) -> Self {
        Self {
            silent: until,
            busy: until,
        }
    }
}

/// Waits for something of a backend server. When it takes longer than patience allows, a place
/// elsewhere is looked for; without one the wait goes on, since a late answer is better than none.
pub async fn wait<T>(
    app: &Arc<App>,
    exchange: &Exchange,
    present: &Place,
    patience: Patience,
    work: impl Future<Output = T>,
) -> Waited<T> {
    tokio::pin!(work);
    let mut until = patience.silent;
    loop {
        let due = until.min(exchange.deadline);
        if let Ok(done) = timeout_at(due.into(), work.as_mut()).await {
            return Waited::Done(done);
        }
        let now = Instant::now();
        if now >= exchange.deadline {
            return Waited::Over;
        }
        until = now + LOOK;
        if now < patience.busy && app.state().pool.is_heard(now, present.id()) {
            continue;
        }
        if let Some(place) = elsewhere(app, exchange, present) {
            return Waited::Elsewhere(place);
        }
    }
}

/// A place for a request on a backend server with less to do, if the request may go there.
fn elsewhere(app: &Arc<App>, exchange: &Exchange, present: &Place) -> Option<Place> {
    if exchange.attempts >= exchange.route.attempts || !exchange.route.kind.repeatable() {
        return None;
    }
    let place = place(app, exchange).ok()?;
    let mut state = app.state();
    let load = |id: &ServerId| {
        let server = state.pool.servers().get(id);
        server.map_or(0, |server| server.load().requests)
    };
    // The place itself counts as a request there.
    let lighter = load(place.id()) <= load(present.id()).max(1);
    let may_go = lighter && state.take_retry(Instant::now(), &exchange.service);
    drop(state);
    may_go.then_some(place)
}

/// Sends a request to the backend server where it has its place, and waits for the head of the
/// answer, elsewhere after the time given.
pub async fn send(app: &Arc<App>, exchange: &mut Exchange, mut place: Place, until: Instant) -> Sent {
    let patience = Patience::until(until);
    let request = exchange.upstream_request(Instant::now(), place.id());
    let address = place.server.address;
    exchange.tried_servers.push(place.id().clone());
    exchange.attempts += 1;
    let sending = upstream::send(address, request);
    let answer = match wait(app, exchange, &place, patience, sending).await {
        Waited::Done(Ok(answer)) => answer,
        Waited::Done(Err(upstream::Error::NotSent(error))) => {
            exchange.attempts -= 1;
            exchange.retry_granted = exchange.attempts > 0;
            place.fail(exchange, &Failure::NotSent(error));
            return Sent::NotRun;
        }
        Waited::Done(Err(upstream::Error::NoResponse(error))) => {
            place.fail(exchange, &Failure::Lost(error));
            return Sent::Unknown;
        }
        Waited::Elsewhere(next) => {
            place.fail(exchange, &Failure::Silent);
            return Sent::Elsewhere(next);
        }
        Waited::Over => {
            place.fail(exchange, &Failure::Silent);
            return Sent::Unknown;
        }
    };
    let status = answer.head.status;
    let headers = &answer.head.headers;
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(header::NOT_RUN) {
        place.fail(exchange, &Failure::NotRun(status.as_u16()));
        return Sent::NotRun;
    }
    let own = exchange.request_id.as_ref().is_none_or(|id| {
        let echo = headers.get(header::ATTEMPT);
        echo.is_none_or(|echo| echo == id)
    });
    let signed = !status.is_success() || text(headers, header::SIGNATURE).is_some();
    if !own || !signed || headers.contains_key(CONTENT_ENCODING) {
        place.fail(exchange, &Failure::Odd(status.as_u16()));
        return Sent::Unknown;
    }
    Sent::Answer(Box::new(answer), place)
}
