//! The metrics as text.

use super::Metrics;
use crate::app::App;
use crate::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use std::time::Instant;

/// Path at which the metrics are served.
const PATH: &str = "/metrics";
/// Bytes of a page of memory on the VMs.
const PAGE_BYTES: i64 = 4096;
/// Media type of the text format.
const TEXT: HeaderValue = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");

/// Answers with all metrics.
pub fn serve<B>(app: &App, request: &Request<B>) -> Response<Body> {
    let mut text = String::new();
    update(app, &app.metrics);
    let found = request.uri().path() == PATH && encode(&mut text, &app.metrics.registry).is_ok();
    let mut response = Response::new(Body::full(text));
    match found {
        true => {
            response.headers_mut().insert(CONTENT_TYPE, TEXT);
        }
        false => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// Sets what is only known when it is asked for.
fn update(app: &App, metrics: &Metrics) {
    let now = Instant::now();
    let state = app.state();
    metrics.revision.set(state.routes.config().revision as i64);
    metrics.members.set(state.members.alive(now).count() as i64);
    let servers = state.pool.servers().values();
    metrics
        .servers
        .set(servers.filter(|server| server.takes_work()).count() as i64);
    metrics
        .list_age_ms
        .set(state.list_age(now).as_millis() as i64);
    drop(state);
    metrics.inside.set(app.inside.count() as i64);
    metrics.dropped_lines.set(app.lines.dropped() as i64);
    metrics
        .resident_bytes
        .set(resident_pages().unwrap_or(0) * PAGE_BYTES);
}

/// Pages of memory that the process holds; none where the system doesn't tell.
fn resident_pages() -> Option<i64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
