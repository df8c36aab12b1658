//! Periodic report of gauges.

use super::Gauge;
use crate::app::App;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reports all gauges periodically. Returns at once if metrics are disabled.
pub(crate) async fn run(app: Arc<App>) {
    if !app.metrics.enabled() {
        return;
    }
    let mut ticker = tokio::time::interval(INTERVAL);
    loop {
        ticker.tick().await;
        report(&app, Instant::now());
    }
}

fn report(app: &App, now: Instant) {
    let revision = app.config().revision();
    let outstanding = app.replica.progress(revision).outstanding.len();
    let members = app.replica.members(now).len();
    let serving = app.replica.may_start(now).is_ok();
    let metrics = &app.metrics;
    metrics.gauge(Gauge::InFlight, app.tracker().in_flight() as u64);
    metrics.gauge(Gauge::Revision, revision);
    metrics.gauge(Gauge::Serving, serving.into());
    metrics.gauge(Gauge::Members, members as u64);
    metrics.gauge(Gauge::Outstanding, outstanding as u64);
    metrics.gauge(Gauge::BackendServers, app.fleet.servers().len() as u64);
    metrics.flush();
}
