//! `/fault`: GET lists, POST adds, DELETE clears.

use super::{Fault, Switch};
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, post};
use std::sync::Arc;
use std::time::Instant;

/// Routes over the managed `Arc<Switch>`.
pub fn routes() -> Vec<Route> {
    rocket::routes![list, add, clear]
}

#[get("/fault")]
fn list(switch: &State<Arc<Switch>>) -> Json<Vec<Fault>> {
    Json(switch.list())
}

#[post("/fault", data = "<fault>")]
fn add(switch: &State<Arc<Switch>>, fault: Json<Fault>) {
    switch.add(fault.into_inner(), Instant::now());
}

#[delete("/fault")]
fn clear(switch: &State<Arc<Switch>>) {
    switch.clear();
}
