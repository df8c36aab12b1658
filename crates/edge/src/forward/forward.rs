//! From a received request to its answer.

use super::attempt::{Place, place};
use super::head::{number, text};
use super::job::Job;
use super::refusal::Refusal;
use super::{plain, stream};
use crate::app::App;
use crate::body::Body;
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

/// What to do with a request next.
pub enum Next {
    /// Send it to the backend server where it has a place.
    Place(Place),
    /// Give it up.
    Refused(Refusal),
}

/// Answers a request.
pub async fn forward(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let entered = app.inside.enter();
    let id = request.headers().get(header::ATTEMPT).cloned();
    let name = id.clone();
    let name = name.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
    match serve(&app, received, request, entered).await {
        Ok(response) => {
            log::info!(event = 1730, request = name, status = response.status().as_u16(),
                took_ms = received.elapsed().as_millis() as u64; "answered");
            response
        }
        Err(refusal) => {
            log::info!(event = 1739, request = name, took_ms = received.elapsed().as_millis() as u64; "refused: {refusal}");
            refusal.answer(id.as_ref())
        }
    }
}

async fn serve(
    app: &Arc<App>,
    received: Instant,
    request: Request<Incoming>,
    entered: crate::stop::Entered,
) -> Result<Response<Body>, Refusal> {
    let routes = {
        let state = app.state();
        if state.finishing || !state.configured() {
            return Err(Refusal::NotNow);
        }
        Arc::clone(&state.routes)
    };
    let (parts, body) = request.into_parts();
    let host = text(&parts.headers, HOST.as_str());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = routes.route(host, parts.uri.path()).map_err(refuse)?;
    let key = text(&parts.headers, header::KEY);
    let customer = routes.customer(route, key).map_err(refuse)?;
    let customer = customer.map(|customer| customer.name.as_str());
    let limits = &routes.config().limits;
    let time = time_for_body(&parts.headers, route);
    let body = read(body, limits.body_bytes, time).await?;
    let mut job = Job::new(received, parts, body, Arc::clone(route), customer);
    let verdict = app.state().suspects.verdict(received, &job.fingerprint);
    if let Verdict::Refused(_) = verdict {
        log::warn!(event = 1745, request = job.name(); "request that ends backend servers");
        return Err(Refusal::NotNow);
    }
    let draw = rand::rng().random();
    let service = job.route.service(draw).ok_or(Refusal::NotNow)?;
    job.service = service.to_owned();
    app.state().count_request(&job.service);
    if job.any_model() {
        job.model = choose_model(&job.route);
    }
    if job.route.kind.is_stream() {
        return stream::serve(app, job, entered).await;
    }
    let limit = job.limit;
    let answer = timeout_at(limit.into(), plain::serve(app, &mut job)).await;
    let ran = job.ran || job.sends > 0;
    match answer {
        Ok(answer) => answer,
        Err(_) if ran => Err(Refusal::Late),
        Err(_) => Err(Refusal::NotNow),
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
    let left = number(headers, header::TIME_LEFT_MS);
    let left = left.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok());
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

/// Finds a place for the next send of a request, waiting a little where none has room. A request
/// that may not be sent again is given up.
pub async fn find(app: &Arc<App>, job: &mut Job, failed: bool) -> Next {
    let over = Instant::now() >= job.limit;
    let gave_up = match job.ran {
        true if over => Refusal::Late,
        true => Refusal::Failed,
        false => Refusal::NotNow,
    };
    if over {
        return Next::Refused(gave_up);
    }
    let again = !job.tried.is_empty();
    if again && (!job.may_send() || !app.state().take_retry(Instant::now(), &job.service)) {
        return Next::Refused(gave_up);
    }
    let patience = job.route.target.mul_f64(PATIENCE);
    let until = (Instant::now() + patience).min(job.limit);
    loop {
        match place(app, job) {
            Ok(place) => return Next::Place(place),
            Err(refusal) if failed || Instant::now() >= until => {
                log::info!(event = 1738, request = job.name(), service = job.service.as_str(),
                    sends = job.sends; "{refusal}");
                return Next::Refused(gave_up);
            }
            Err(_) => {
                // A wake-up may be meant for a request that another backend server suits.
                let _ = timeout(LOOK, app.room.notified()).await;
            }
        }
    }
}
