//! One attempt to send a request to a backend server, and what its outcome says of the server.

use super::announcement;
use super::buffer;
use super::exchange::Exchange;
use super::headers::text;
use super::wait::{Deadlines, Wait, wait};
use crate::app::{App, Loss, Notice, State};
use crate::connect::{self, connect};
use crate::metrics;
use crate::stream::Via;
use crate::upstream;
use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use platform::header;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::ServerId;
use route::pool::{self, Load, Outcome, Prefill, Query, Refusal, Stage};
use route::reach::{Failure::Broken, Path};
use route::server::Listing;
use route::zone::Decision;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Statuses of final responses. The HTTP library passes on all numbers of three digits, and a switch of
/// protocols that nobody has asked for.
const VALID_STATUSES: std::ops::Range<u16> = 200..600;

/// Events after which the pace of a stream is measured.
const PACE_EVENTS: u32 = 3;

/// Why an attempt failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The request wasn't sent, so it hasn't run.
    #[error("not sent: {0}")]
    NotSent(#[source] std::io::Error),
    /// The request wasn't sent because this node has no path to the backend server.
    #[error("not sent, no path: {0}")]
    NoPath(#[source] std::io::Error),
    /// The request was sent and no response arrived.
    #[error("sent, but no response arrived: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The request was sent and nothing arrived in time.
    #[error("timed out")]
    TimedOut,
    /// The backend server reports that it hasn't run the request.
    #[error("not run, status {0}")]
    NotRun(u16),
    /// The response belongs to another request, is unsigned or encoded, or has an invalid status.
    #[error("invalid response, status {0}")]
    InvalidResponse(u16),
    /// The response is larger than the limit, or than the memory that is left.
    #[error("response too large")]
    Oversized,
    /// The response ended early.
    #[error("response truncated")]
    Truncated,
    /// The response was left before its end, since it came too late.
    #[error("response late")]
    Late,
    /// The response had no end by the deadline, though bytes of it still came.
    #[error("response without an end in time")]
    Unfinished,
    /// The backend server responded with an error status.
    #[error("failed with status {0}")]
    Status(u16),
}

impl From<buffer::Error> for Failure {
    fn from(error: buffer::Error) -> Self {
        match error {
            buffer::Error::TooLarge(_) | buffer::Error::Exhausted(_) => Self::Oversized,
            buffer::Error::Truncated(_) => Self::Truncated,
        }
    }
}

/// An attempt on one backend server. It counts as load there until it is dropped.
#[derive(Debug)]
pub struct Attempt {
    app: Arc<App>,
    /// The backend server.
    pub server: Box<Listing>,
    started: Instant,
    outcome: Outcome,
    prefill: Prefill,
    load: Load,
    /// Whether the backend server had named a limit when the request was sent.
    pub was_limited: bool,
    model: String,
    /// Whether a roll-out ignores the outcome, which says nothing of the version: the backend server
    /// timed out, couldn't be reached, or its crash has been counted already.
    ignored_by_rollout: bool,
    /// How the request gets to its backend server, once it is connected.
    via: OnceLock<Via>,
    first_event: Option<Instant>,
    event_count: u32,
}

impl Attempt {
    /// Sets the outcome, which is recorded on drop.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records why the attempt failed.
    pub fn fail(&mut self, exchange: &Exchange, failure: &Failure) {
        self.outcome = match failure {
            Failure::NotRun(_) => Outcome::Full,
            Failure::NoPath(_) => Outcome::Unknown,
            _ => Outcome::Failed,
        };
        match failure {
            Failure::NotSent(error) => {
                self.ignored_by_rollout = true;
                let mut state = self.app.state();
                let is_doubtful = state.reach.path() == Path::Doubtful;
                if is_doubtful && !connect::is_confirmed(error) {
                    tokio::spawn(report_end(Arc::clone(&self.app), (*self.server).clone()));
                } else {
                    // Without delay: what crashes backend servers is told apart by the order of events.
                    state.record_server_end(Instant::now(), &self.server.id);
                }
            }
            Failure::TimedOut => {
                self.ignored_by_rollout = true;
                match self.is_on_lost_path() {
                    true => self.outcome = Outcome::Unknown,
                    false => self.app.state().record_silence(&self.server),
                }
            }
            Failure::NoResponse(_) | Failure::Truncated => {
                if self.via.get() == Some(&Via::Direct) {
                    let id = &self.server.id;
                    self.app.record_failed_connection(id, Broken, false);
                }
                self.fail_broken(exchange);
            }
            // Its connection lives, so it says nothing of the path.
            Failure::Late => self.fail_broken(exchange),
            _ => (),
        }
        log::warn!(event = 1731, request = exchange.log_id(), server = self.server.id.as_str(),
            version = self.server.version.as_str(), sends = exchange.attempts,
            waited_ms = self.elapsed().as_millis() as u64, last_event = exchange.last_event_id.unwrap_or(0),
            left_ms = exchange.remaining().as_millis() as u64; "attempt failed: {failure}");
    }

    /// Whether its connection is direct and this node was found to have lost its path, which says nothing
    /// of the backend server.
    pub fn is_on_lost_path(&self) -> bool {
        let is_tunnelled = self.via.get() == Some(&Via::Tunnel);
        !is_tunnelled && self.app.state().is_cut(Instant::now())
    }

    /// Whether nothing will arrive: its connection is direct, and packets vanish on the direct path.
    pub fn is_hung(&self, now: Instant) -> bool {
        let is_direct = self.via.get() == Some(&Via::Direct);
        let state = self.app.state();
        is_direct
            && state.is_cut(now)
            && state.reach.is_silent()
            && !state.pool.is_active(now, &self.server.id)
    }

    /// Records that the response has no end, which may be a crash of the backend server.
    fn fail_broken(&mut self, exchange: &Exchange) {
        // What it says of the version is recorded once it is known whether the path has failed.
        self.ignored_by_rollout = true;
        let is_direct = self.via.get() == Some(&Via::Direct);
        if self.is_on_lost_path() {
            self.outcome = Outcome::Unknown;
            return;
        }
        let loss = self.loss(Instant::now(), exchange);
        self.app.state().record_loss(loss);
        let (app, server) = (Arc::clone(&self.app), (*self.server).clone());
        tokio::spawn(confirm_end(app, server, is_direct));
    }

    /// Describes the loss of the request with its backend server.
    fn loss(&self, now: Instant, exchange: &Exchange) -> Loss {
        let begun = self.first_event.is_some() || exchange.last_event_id.is_some();
        Loss {
            fingerprint: exchange.fingerprint.clone(),
            parts: match begun {
                true => Vec::new(),
                false => exchange.work.shared_parts().collect(),
            },
            server: self.server.id.clone(),
            started_ms: self.server.started_ms,
            at: now,
        }
    }

    /// Id of the backend server.
    pub fn server_id(&self) -> &ServerId {
        &self.server.id
    }

    /// Time since the start of the attempt.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time of its start.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Its load on the backend server, with what the engine has yet to read of the prompt.
    pub fn load(&self) -> Load {
        Load {
            pending_prefill: self.prefill.own,
            ..self.load
        }
    }

    /// Number of events received.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Time since the first event was received.
    pub fn stream_time(&self) -> Duration {
        let first = self.first_event.map(|first| first.elapsed());
        first.unwrap_or_default()
    }

    /// Records an event of a stream. The first one shows that the engine has read the prompt.
    pub fn record_event(&mut self) {
        self.event_count += 1;
        self.app
            .state()
            .pool
            .record_activity(Instant::now(), &self.server.id);
        match self.first_event {
            None => {
                self.first_event = Some(Instant::now());
                let prefill = std::mem::take(&mut self.prefill);
                let millis = self.elapsed().as_secs_f64() * 1e3;
                let mut state = self.app.state();
                state.pool.finish_prefill(&self.server.id, prefill.own);
                state
                    .pool
                    .record_first_event(Instant::now(), &self.server, prefill, millis);
                drop(state);
                self.record_stage(Stage::FirstEvent, self.elapsed());
            }
            Some(first) if self.event_count == PACE_EVENTS => {
                self.record_stage(Stage::EventInterval, first.elapsed() / (PACE_EVENTS - 1));
            }
            Some(_) => (),
        }
    }

    /// Records the end of a buffered response.
    pub fn record_response(&mut self) {
        self.record_stage(Stage::FullAnswer, self.elapsed());
    }

    /// Records how long a stage took.
    fn record_stage(&mut self, stage: Stage, took: Duration) {
        let millis = took.as_secs_f64() * 1e3;
        let mut state = self.app.state();
        state.record_time(Instant::now(), &self.server, &self.model, stage, millis);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let label = metrics::Send {
            service: self.server.service.clone(),
            outcome: match self.outcome {
                Outcome::Succeeded => "sound",
                Outcome::Failed => "failed",
                Outcome::Full => "full",
                Outcome::Unknown => "unknown",
            },
        };
        self.app.metrics.sends.get_or_create(&label).inc();
        let mut state = self.app.state();
        let mut rng = SmallRng::from_os_rng();
        state.pool.finish_prefill(&self.server.id, self.prefill.own);
        state.pool.finish_request(
            Instant::now(),
            &self.server.id,
            self.load,
            self.outcome,
            &mut rng,
        );
        if !self.ignored_by_rollout && matches!(self.outcome, Outcome::Succeeded | Outcome::Failed)
        {
            let bad = self.outcome == Outcome::Failed;
            state.record_answer(&self.server, bad);
        }
        drop(state);
        self.app.capacity_changed.notify_one();
    }
}

/// Records that a backend server refuses connections, unless this node's path has failed.
async fn report_end(app: Arc<App>, server: Listing) {
    if connect::is_sound(&app).await {
        app.state().record_server_end(Instant::now(), &server.id);
    }
}

/// Records that a backend server broke off, and that it has ended if it refuses connections. Otherwise this
/// node's path may have failed, which says nothing of the server.
async fn confirm_end(app: Arc<App>, server: Listing, is_direct: bool) {
    // Asked at once: it may soon be back.
    let has_ended = connect::is_refused(&app, &server).await;
    if is_direct && !has_ended && !connect::is_sound(&app).await {
        app.state().drop_losses(Instant::now(), &server.id);
        return;
    }
    let now = Instant::now();
    let mut state = app.state();
    // A crash ends all requests on the backend server, but counts only once.
    if state.pool.record_break(now, &server.id) {
        state.record_answer(&server, true);
    }
    if has_ended {
        state.record_server_end(now, &server.id);
    }
}

/// Result of sending a request to a backend server.
#[derive(Debug)]
pub enum Delivery {
    /// A valid response of the backend server.
    Response(Box<upstream::Response>, Attempt),
    /// The request hasn't run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run and took too long; an attempt on another server has been reserved.
    Failover(Attempt),
}

/// Selects a backend server for a request and reserves capacity there.
pub fn start_attempt(app: &Arc<App>, exchange: &Exchange) -> Result<Attempt, Refusal> {
    start_attempt_if(app, exchange, |_, _, _| true).and_then(|attempt| attempt.ok_or(Refusal::Full))
}

/// Selects a backend server for a request, and reserves capacity there if it is accepted.
pub fn start_attempt_if(
    app: &Arc<App>,
    exchange: &Exchange,
    accepts: impl FnOnce(&mut State, &Query, &Listing) -> bool,
) -> Result<Option<Attempt>, Refusal> {
    let now = Instant::now();
    let model = exchange.model.as_ref();
    let mut state = app.state();
    let query = Query {
        service: &exchange.service,
        model: model.map(|model| (model.name.as_str(), model.time)),
        model_hash: model.map_or(0, |model| pool::name_hash(&model.name)),
        work: &exchange.work,
        zone: &app.site.zone,
        tried: &exchange.tried_servers,
        draw: rand::rng().random(),
    };
    let server = state.pick(now, &query, exchange.log_id(), exchange.session.as_deref())?;
    if !accepts(&mut state, &query, &server) {
        return Ok(None);
    }
    let zone_change = state.pool.take_zone_change(&exchange.service);
    let prefill = state.pool.start_request(now, &server.id, &query);
    let announce = state.record_send(now, &server, exchange.session.as_deref());
    let chosen = state.pool.servers().get(&server.id);
    let was_limited = chosen.is_some_and(|server| server.limit().is_some());
    let load = chosen.map(|server| server.load());
    let age = state.list_age(now);
    drop(state);
    record_zone(app, &server, zone_change);
    log::info!(event = 1732, request = exchange.log_id(), server = server.id.as_str(),
        version = server.version.as_str(), zone = server.zone.as_str(),
        model = query.model.map_or("-", |(model, _)| model),
        load = load.unwrap_or_default().requests, list_age_ms = age.as_millis() as u64,
        unread = (prefill.own + prefill.ahead) as u64, sends = exchange.attempts,
        left_ms = exchange.remaining().as_millis() as u64; "backend server selected");
    if let (true, Some(session)) = (announce, &exchange.session) {
        app.announce(Notice::Assignment((
            session.clone(),
            server.version.clone(),
        )));
    }
    Ok(Some(Attempt {
        app: Arc::clone(app),
        server: Box::new(server),
        started: now,
        outcome: Outcome::Unknown,
        prefill,
        load: pool::load_of(&query),
        was_limited,
        model: model.map_or(String::new(), |model| model.name.clone()),
        ignored_by_rollout: false,
        via: OnceLock::new(),
        first_event: None,
        event_count: 0,
    }))
}

/// Counts a send by its zone, and logs a change of the share of the requests that leave.
fn record_zone(app: &App, server: &Listing, change: Option<(f64, Decision)>) {
    let service = || server.service.clone();
    let label = metrics::ZoneSend {
        service: service(),
        destination: match server.zone == app.site.zone {
            true => "own",
            false => "other",
        },
    };
    app.metrics.zone_sends.get_or_create(&label).inc();
    let Some((share, decision)) = change else {
        return;
    };
    let percent = (share * 100.0).round() as i64;
    let label = metrics::Service { service: service() };
    app.metrics.zone_share.get_or_create(&label).set(percent);
    log::info!(event = 1764, service = server.service.as_str(), percent = percent,
        own_ms = decision.own_millis as u64, other_ms = decision.other_millis as u64;
        "share of the requests that leave the zone has changed");
}

/// Sends a request to the backend server of an attempt and waits for the head of the response. A
/// failover is tried from the given time on.
pub async fn send(
    app: &Arc<App>,
    exchange: &mut Exchange,
    mut attempt: Attempt,
    failover_at: Instant,
) -> Delivery {
    let deadlines = Deadlines::uniform(failover_at);
    exchange.tried_servers.push(attempt.server_id().clone());
    exchange.attempts += 1;
    let current = &*exchange;
    let sending = async {
        let stream = connect(app, &attempt.server).await?;
        attempt.via.get_or_init(|| stream.via());
        // A tunnel may take a while to open, so the time left is that of now.
        let request = current.upstream_request(Instant::now(), attempt.server_id());
        upstream::send(stream, request).await
    };
    let response = match wait(app, exchange, &attempt, deadlines, sending).await {
        Wait::Done(Ok(response)) => response,
        Wait::Done(Err(upstream::Error::NotSent(error))) => {
            exchange.attempts -= 1;
            exchange.retry_granted = exchange.attempts > 0;
            attempt.fail(exchange, &Failure::NotSent(error));
            return Delivery::NotRun;
        }
        Wait::Done(Err(upstream::Error::NoPath(error))) => {
            exchange.attempts -= 1;
            exchange.retry_granted = exchange.attempts > 0;
            attempt.fail(exchange, &Failure::NoPath(error));
            return Delivery::NotRun;
        }
        Wait::Done(Err(upstream::Error::NoResponse(error))) => {
            attempt.fail(exchange, &Failure::NoResponse(error));
            return Delivery::Unknown;
        }
        Wait::Failover(next) => {
            attempt.fail(exchange, &Failure::TimedOut);
            return Delivery::Failover(next);
        }
        Wait::Expired => {
            attempt.fail(exchange, &Failure::TimedOut);
            return Delivery::Unknown;
        }
    };
    if attempt.via.get() == Some(&Via::Direct) {
        app.record_direct_response(attempt.started);
    }
    let status = response.head.status;
    let headers = &response.head.headers;
    // A late response to another request says nothing of this one, not even that it hasn't run.
    let id_matches = exchange.request_id.as_ref().is_none_or(|id| {
        let echo = headers.get(header::ATTEMPT);
        echo.is_none_or(|echo| echo == id)
    });
    if !VALID_STATUSES.contains(&status.as_u16()) {
        attempt.fail(exchange, &Failure::InvalidResponse(status.as_u16()));
        return Delivery::Unknown;
    }
    let not_run =
        status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(header::NOT_EXECUTED);
    if id_matches {
        announcement::record(app, exchange, &attempt, &response.head);
    }
    if id_matches && not_run {
        attempt.fail(exchange, &Failure::NotRun(status.as_u16()));
        return Delivery::NotRun;
    }
    let signed = !status.is_success() || text(headers, header::SIGNATURE).is_some();
    if !id_matches || !signed || headers.contains_key(CONTENT_ENCODING) {
        attempt.fail(exchange, &Failure::InvalidResponse(status.as_u16()));
        return Delivery::Unknown;
    }
    Delivery::Response(Box::new(response), attempt)
}
