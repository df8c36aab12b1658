//! Headers by which backend servers announce that they leave, want a pause or limit requests.

use super::attempt::Attempt;
use super::exchange::Exchange;
use super::headers::text;
use crate::app::{App, Notice};
use crate::metrics;
use hyper::http::response::Parts;
use platform::{Announcement, header, parse_announcement};
use route::pool::{Naming, Rate};
use route::server::Listing;
use std::time::{Duration, Instant};

/// Applies the announcements in the headers of a response.
pub fn record(app: &App, exchange: &Exchange, attempt: &Attempt, head: &Parts) {
    let server: &Listing = &attempt.server;
    let value = |name: &str| text(&head.headers, name);
    let announcement = parse_announcement(head.status.as_u16(), value);
    match announcement.limit {
        Some(rate) => record_naming(app, exchange, server, rate),
        None if attempt.was_limited => record_silent_answer(app, exchange, server),
        None => (),
    }
    if announcement == Announcement::default() {
        return;
    }
    if announcement.is_leaving {
        record_leaving(app, exchange, server);
    }
    if let Some(pause) = announcement.pause {
        record_pause(app, exchange, server, pause);
    }
    if announcement.is_invalid {
        count(app, "invalid");
        log::warn!(event = 1797, request = exchange.log_id(), server = server.id.as_str(),
            pause = value(header::RETRY_AFTER).unwrap_or("-"), limit = value(header::LIMIT).unwrap_or("-");
            "backend server asks for a pause, or names a limit, that is left out or shortened");
    }
}

fn record_leaving(app: &App, exchange: &Exchange, server: &Listing) {
    count(app, "leaving");
    let is_new = app
        .state()
        .pool
        .record_leaving(&server.id, server.started_ms);
    if is_new {
        log::info!(event = 1795, request = exchange.log_id(), server = server.id.as_str(); "backend server announces that it is leaving");
        app.announce(Notice::Departure(server.id.clone(), server.started_ms));
    }
}

fn record_pause(app: &App, exchange: &Exchange, server: &Listing, pause: Duration) {
    count(app, "pause");
    let mut state = app.state();
    state
        .pool
        .record_pause(Instant::now(), &server.id, server.started_ms, pause);
    drop(state);
    log::info!(event = 1796, request = exchange.log_id(), server = server.id.as_str(),
        pause_ms = pause.as_millis() as u64; "backend server asks for a pause");
}

fn record_naming(app: &App, exchange: &Exchange, server: &Listing, rate: Rate) {
    let now = Instant::now();
    let naming = Naming {
        server: server.id.clone(),
        started_ms: server.started_ms,
        rate: Some(rate),
        at: now,
    };
    count(app, "limit");
    let is_news = app.state().record_naming(now, &naming);
    if is_news {
        log::debug!(event = 1762, request = exchange.log_id(), server = server.id.as_str(); "telling other nodes of a limit");
        app.announce(Notice::Naming(naming));
    }
}

/// Records an answer that doesn't name the limit which the server has named before.
fn record_silent_answer(app: &App, exchange: &Exchange, server: &Listing) {
    let now = Instant::now();
    let ended = app
        .state()
        .pool
        .record_silent_answer(now, &server.id, server.started_ms);
    if ended {
        log::info!(event = 1761, request = exchange.log_id(), server = server.id.as_str(); "backend server no longer names a limit");
        app.announce(Notice::Naming(Naming {
            server: server.id.clone(),
            started_ms: server.started_ms,
            rate: None,
            at: now,
        }));
    }
}

fn count(app: &App, kind: &'static str) {
    let label = metrics::Announcement { kind };
    app.metrics.announcements.get_or_create(&label).inc();
}
