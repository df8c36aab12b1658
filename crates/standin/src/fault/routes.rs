//! HTTP routes at `/fault`: GET lists the active faults, POST adds one, DELETE removes all.

use super::{Fault, Injector};
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, post};
use std::sync::Arc;
use std::time::Instant;

/// Returns the routes, which use the managed `Arc<Injector>`.
pub fn routes() -> Vec<Route> {
    rocket::routes![list, add, clear]
}

#[get("/fault")]
fn list(injector: &State<Arc<Injector>>) -> Json<Vec<Fault>> {
    Json(injector.list())
}

#[post("/fault", data = "<fault>")]
fn add(injector: &State<Arc<Injector>>, fault: Json<Fault>) {
    injector.add(fault.into_inner(), Instant::now());
}

#[delete("/fault")]
fn clear(injector: &State<Arc<Injector>>) {
    injector.clear();
}
