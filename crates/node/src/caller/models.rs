//! Listing of the models that a customer may use.

use super::Caller;
use crate::app::App;
use rocket::State;
use rocket::serde::json::Json;
use serde_json::{Value, json};
use std::sync::Arc;

/// `GET /v1/models`: the tasks, models and versions of the caller's contract.
#[rocket::get("/v1/models")]
pub(super) fn models(app: &State<Arc<App>>, caller: Caller) -> Json<Value> {
    let config = app.config();
    let mut data = Vec::new();
    if let Some(contract) = config.contract(&caller.customer) {
        data.extend(contract.tasks.keys().map(|task| entry(task, "task")));
        for model in config.models() {
            let versions: Vec<_> = model
                .versions
                .iter()
                .filter(|version| config.is_allowed(contract, &model.name, &version.name))
                .map(|version| format!("{}@{}", model.name, version.name))
                .collect();
            if !versions.is_empty() {
                data.push(entry(&model.name, "model"));
            }
            data.extend(versions.iter().map(|name| entry(name, "version")));
        }
    }
    Json(json!({ "object": "list", "data": data }))
}

fn entry(id: &str, kind: &str) -> Value {
    json!({ "id": id, "object": "model", "created": 0, "owned_by": "sardinebank", "kind": kind })
}
