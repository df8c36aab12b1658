//! State of this node, for debugging.

use super::{Error, Operator, status};
use crate::app::App;
use crate::fleet::{Kind, Server};
use contract::Config;
use rocket::State;
use rocket::serde::json::Json;
use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::time::Instant;

/// Replacement for a digest.
const REDACTED: &str = "<redacted>";

/// `GET /operator/v1/dump`: returns settings, status, decisions, objects, backend servers and the
/// number of requests. Keys and their digests are redacted.
#[rocket::get("/operator/v1/dump")]
pub(super) fn dump(app: &State<Arc<App>>, operator: Operator) -> Result<Json<Value>, Error> {
    let by = operator.name.as_str();
    log::info!(event = 1604, operator = by; "state dumped");
    let settings: Map<String, Value> = settings::node::redacted(&app.settings)
        .into_iter()
        .map(|(flag, value)| (flag.to_owned(), Value::from(value)))
        .collect();
    let servers = app.fleet.servers();
    let backends: Vec<_> = servers.iter().map(|one| backend_server(app, one)).collect();
    Ok(Json(json!({
        "version": env!("CARGO_PKG_VERSION"),
        "settings": settings,
        "status": status::read(app, Instant::now()),
        "requests_under_way": app.tracker().in_flight(),
        "budgets_left_micros": budgets(app),
        "replica": app.replica.dump(Instant::now()),
        "objects": objects(&app.config())?,
        "backend_servers": backends,
        "quarantined": app.breakers.tripped(Instant::now()),
        "decisions": app.scheduler.dump(),
    })))
}

fn backend_server(app: &App, server: &Server) -> Value {
    let runs = match &server.kind {
        Kind::Engine { model, version } => format!("{model}@{version}"),
        Kind::Service(service) => service.clone(),
    };
    json!({
        "address": server.id,
        "zone": server.zone,
        "runs": runs,
        "leaving": server.leaving,
        "own_requests": app.slots.in_flight(&server.id),
        "free_slots": app.slots.available(&server.id),
        "home": app.slots.home_of(&server.id),
    })
}

/// Returns what is left of this node's shares of the budgets, by customer.
fn budgets(app: &App) -> Map<String, Value> {
    let config = app.config();
    let limited = config.contracts().filter(|one| one.spend.is_some());
    limited
        .map(|one| {
            (
                one.customer.clone(),
                app.budgets.remaining(&one.customer).into(),
            )
        })
        .collect()
}

fn objects(config: &Config) -> Result<Map<String, Value>, Error> {
    config
        .objects()
        .map(|(key, object)| {
            let mut value = serde_json::to_value(object.as_ref())?;
            redact(&mut value);
            Ok((key.clone(), value))
        })
        .collect()
}

/// Replaces all digests, at any depth.
fn redact(value: &mut Value) {
    match value {
        Value::Object(map) => {
            for (name, field) in map {
                match name.as_str() {
                    "sha256" => *field = Value::from(REDACTED),
                    _ => redact(field),
                }
            }
        }
        Value::Array(list) => list.iter_mut().for_each(redact),
        _ => {}
    }
}
