//! Addresses of the nodes that accept callers' requests.

use crate::app::App;
use rocket::State;
use rocket::serde::json::Json;
use serde::Serialize;
use std::sync::Arc;

/// Base URLs of nodes in order of preference, and the time to live of the list.
#[derive(Debug, Serialize)]
pub(super) struct Entries {
    entries: Vec<String>,
    ttl_ms: u64,
}

/// `GET /v1/entries`: base URLs of the nodes, and how long callers may cache them.
#[rocket::get("/v1/entries?<zone>")]
pub(super) fn entries(app: &State<Arc<App>>, zone: Option<&str>) -> Json<Entries> {
    let entries = app
        .entries(zone)
        .into_iter()
        .map(|address| format!("http://{address}"))
        .collect();
    let ttl_ms = app.settings.entries_ttl.as_millis() as u64;
    Json(Entries { entries, ttl_ms })
}
