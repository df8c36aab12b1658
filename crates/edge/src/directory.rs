//! Answers to callers that ask which address to use.

use crate::app::App;
use crate::body::Body;
use hyper::{Request, Response, StatusCode};
use platform::directory::{self, DIRECTORY_PATH, MAX_ADDRESSES, READY_PATH};
use std::time::{Duration, Instant};

/// Time for which callers keep an answer: a node that is gone isn't asked much longer than it takes
/// to notice it.
const KEEP: Duration = Duration::from_secs(2);

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
    let state = app.state();
    let mut addresses = state.members.addresses(now);
    if state.ready() {
        addresses.push(app.site.requests);
    }
    let keep = KEEP.min(state.bounds.list_age);
    drop(state);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.truncate(MAX_ADDRESSES);
    let mut response = Response::new(Body::whole(directory::answer(&addresses, keep)));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::whole(""));
    *response.status_mut() = status;
    response
}
