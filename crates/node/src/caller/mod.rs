//! HTTP API for callers.

mod body;
mod caller;
mod catch;
mod chat;
mod entries;
mod failure;
mod models;
mod service;

pub(crate) use body::read as read_body;
pub use caller::Caller;
pub(crate) use caller::bearer_key;
pub use catch::catchers;
pub use failure::Failure;

/// Returns all routes for callers.
pub fn routes() -> Vec<rocket::Route> {
    let mut routes = rocket::routes![entries::entries, models::models, chat::chat];
    routes.extend(service::routes());
    routes
}
