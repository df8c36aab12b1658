//! Answers to callers that ask which address to use.

use crate::app::App;
use crate::body::Body;
use crate::listen::Peer;
use contract::stable_hash;
use hyper::{Request, Response, StatusCode};
use platform::directory::{self, DIRECTORY_PATH, MAX_ADDRESSES, READY_PATH};
use route::member::Lookup;
use std::time::{Duration, Instant};

/// Time for which callers keep an answer: a node that is gone isn't asked much longer than it takes
/// to notice it.
const KEEP: Duration = Duration::from_secs(2);
/// Time for which a caller is told of the same nodes of a large fleet. After it others are drawn, so
/// that callers behind one address reach all of them.
const DRAW_TIME: Duration = Duration::from_secs(10);

/// Answers whether the node is ready.
pub fn ready<B>(app: &App, request: &Request<B>) -> Response<Body> {
    if request.uri().path() != READY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    match app.state().ready() {
        true => empty(StatusCode::OK),
        false => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers which addresses to use.
pub fn resolve<B>(app: &App, request: &Request<B>) -> Response<Body> {
    if request.uri().path() != DIRECTORY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let now = Instant::now();
    let question = Lookup {
        zone: request.uri().query().and_then(directory::parse_zone),
        seed: draw_key(app, request),
        limit: MAX_ADDRESSES,
    };
    let own = app.member();
    let state = app.state();
    let own = state.ready().then_some(&own);
    let addresses = question.resolve(state.members.ready(now).chain(own));
    let keep = KEEP.min(state.bounds.max_list_age);
    drop(state);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut response = Response::new(Body::full(directory::encode_answer(&addresses, keep)));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Number that a caller's draw depends on.
fn draw_key<B>(app: &App, request: &Request<B>) -> u64 {
    let peer = request.extensions().get::<Peer>();
    let caller = peer.map_or(String::new(), |Peer(address)| address.ip().to_string());
    let turn = app.started.elapsed().as_secs() / DRAW_TIME.as_secs();
    stable_hash([caller.as_str(), turn.to_string().as_str()])
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    *response.status_mut() = status;
    response
}
