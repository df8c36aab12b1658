//! Routes for callers.

mod body;
mod catch;
mod chat;
mod entries;
mod failure;
mod key;
mod models;
mod service;

pub use catch::catchers;
pub use failure::Failure;
pub use key::Caller;

/// All routes for callers.
pub fn routes() -> Vec<rocket::Route> {
    let mut routes = rocket::routes![entries::entries, models::models, chat::chat];
    routes.extend(service::routes());
    routes
}
