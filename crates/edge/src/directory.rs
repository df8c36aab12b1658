//! Readiness check, and the directory that tells callers the addresses of nodes.

use crate::app::App;
use crate::body::Body;
use crate::listen::Peer;
use contract::stable_hash;
use hyper::{Request, Response, StatusCode};
use platform::directory::{self, DIRECTORY_PATH, MAX_ADDRESSES, READY_PATH};
use route::member::Lookup;
use std::time::{Duration, Instant};

/// Time for which callers cache a response. It is short, so that callers don't use a lost node much
/// longer than it takes to detect the loss.
const TTL: Duration = Duration::from_secs(2);
/// Time for which a caller is told the same sample of the nodes of a large fleet. Then another sample
/// is drawn, so that callers behind one address reach all nodes.
const SAMPLE_TIME: Duration = Duration::from_secs(10);

/// Reports whether the node is ready.
pub fn ready<B>(app: &App, request: &Request<B>) -> Response<Body> {
    if request.uri().path() != READY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    match app.state().ready() {
        true => empty(StatusCode::OK),
        false => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Responds with the addresses that the caller should use.
pub fn resolve<B>(app: &App, request: &Request<B>) -> Response<Body> {
    if request.uri().path() != DIRECTORY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let now = Instant::now();
    let lookup = Lookup {
        zone: request.uri().query().and_then(directory::parse_zone),
        seed: sample_seed(app, request),
        limit: MAX_ADDRESSES,
    };
    let own = app.member();
    let state = app.state();
    let own = state.ready().then_some(&own);
    let addresses = lookup.resolve(state.members.ready(now).chain(own));
    let ttl = TTL.min(state.bounds.max_list_age);
    drop(state);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut response = Response::new(Body::full(directory::encode_answer(&addresses, ttl)));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Seed that selects the sample of nodes for a caller.
fn sample_seed<B>(app: &App, request: &Request<B>) -> u64 {
    let peer = request.extensions().get::<Peer>();
    let caller = peer.map_or(String::new(), |Peer(address)| address.ip().to_string());
    let period = app.started.elapsed().as_secs() / SAMPLE_TIME.as_secs();
    stable_hash([caller.as_str(), period.to_string().as_str()])
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    *response.status_mut() = status;
    response
}
