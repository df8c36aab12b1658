//! Serves the metrics in the OpenMetrics text format.

use super::Metrics;
use crate::app::App;
use crate::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use route::reach::Path;
use std::time::Instant;

/// Path at which the metrics are served.
const PATH: &str = "/metrics";
/// Size of a memory page on the VMs, in bytes.
const PAGE_BYTES: i64 = 4096;
/// Media type of the OpenMetrics text format.
const OPENMETRICS: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0");

/// Responds with all metrics.
pub fn serve<B>(app: &App, request: &Request<B>) -> Response<Body> {
    let mut text = String::new();
    update_gauges(app, &app.metrics);
    let found = request.uri().path() == PATH && encode(&mut text, &app.metrics.registry).is_ok();
    let mut response = Response::new(Body::full(text));
    match found {
        true => {
            response.headers_mut().insert(CONTENT_TYPE, OPENMETRICS);
        }
        false => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// Sets the gauges, which are only read when the metrics are scraped.
fn update_gauges(app: &App, metrics: &Metrics) {
    let now = Instant::now();
    let state = app.state();
    metrics.revision.set(state.routes.config().revision as i64);
    metrics.store_era.set(app.store.era() as i64);
    metrics.members.set(state.members.alive(now).count() as i64);
    let servers = state.pool.servers().values();
    metrics
        .servers
        .set(servers.filter(|server| server.accepts_work()).count() as i64);
    let servers = state.pool.servers().values();
    let leaving = servers.filter(|server| server.is_leaving());
    metrics.leaving_servers.set(leaving.count() as i64);
    let servers = state.pool.servers().values();
    let paused = servers.filter(|server| server.pause_left(now).is_some());
    metrics.paused_servers.set(paused.count() as i64);
    let servers = state.pool.servers().values();
    let limited = servers.filter(|server| server.limit().is_some());
    metrics.limited_servers.set(limited.count() as i64);
    let is_lost = state.reach.path() == Path::Lost;
    metrics.path_lost.set(i64::from(is_lost));
    metrics
        .list_age_ms
        .set(state.list_age(now).as_millis() as i64);
    drop(state);
    metrics.in_flight.set(app.in_flight.count() as i64);
    metrics.open_tunnels.set(app.tunnels.count() as i64);
    metrics.dropped_lines.set(app.log_counts.count() as i64);
    metrics.buffered_bytes.set(app.memory.used() as i64);
    metrics
        .resident_bytes
        .set(resident_pages().unwrap_or(0) * PAGE_BYTES);
}

/// Resident memory of the process in pages; none where the system doesn't report it.
fn resident_pages() -> Option<i64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
